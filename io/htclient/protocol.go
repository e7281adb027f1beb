package htclient

import (
	"crypto/tls"
	"net"
	"net/http"
)

const (
	// tlsBytes is the memory of the encryption of a connection.
	tlsBytes = 64 << 10
	// http2Bytes is the memory of an HTTP/2 connection beside its requests and the header that
	// is being read.
	http2Bytes = 48<<10 + http2ReceiveBytes
	// http2ReceiveBytes bounds the bytes of request bodies that an HTTP/2 connection holds
	// before they are read, and http2StreamReceiveBytes those of one request.
	http2ReceiveBytes       = 128 << 10
	http2StreamReceiveBytes = 64 << 10
	// http2Streams bounds the requests of an HTTP/2 connection at a time.
	http2Streams = 100
	// streamBytes is the memory of a request of an HTTP/2 connection beside its header.
	streamBytes = 16 << 10
	// prefaceStart is how HTTP/2 connections start. No HTTP/1 method has this name.
	prefaceStart   = "PRI "
	prefaceDiffers = -1
	// greetingFactor is the memory of an incomplete TLS greeting, in its bytes.
	greetingFactor = 4
	// handshakeBytes bounds the messages of a TLS handshake.
	handshakeBytes = 64 << 10
	// recordBytes bounds what is decrypted and not yet parsed, and recordOverhead what
	// encryption adds to a short request.
	recordBytes    = 16 << 10
	recordOverhead = 256
	// shortestLine is the shortest line of a header.
	shortestLine = len("a:\r\n")
)

// HTTP2Config returns settings that keep HTTP/2 connections within what they are charged.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          http2Streams,
		MaxReceiveBufferPerConnection: http2ReceiveBytes,
		MaxReceiveBufferPerStream:     http2StreamReceiveBytes,
	}
}

// readPreface notices the start of an HTTP/2 connection that is not encrypted.
func (c *Conn) readPreface(data []byte) {
	if c.encrypted || c.preface == prefaceDiffers || c.preface == len(prefaceStart) {
		return
	}
	for _, b := range data[:min(len(data), len(prefaceStart)-c.preface)] {
		if b != prefaceStart[c.preface] {
			c.preface = prefaceDiffers
			return
		}
		c.preface++
	}
	if c.preface == len(prefaceStart) {
		c.becomeHTTP2()
	}
}

// noticeHTTP2 reports whether a connection whose handshake has ended carries HTTP/2.
func (c *Conn) noticeHTTP2(conn net.Conn) bool {
	if c.http2.Load() {
		return true
	}
	encrypted, ok := conn.(*tls.Conn)
	if !ok || encrypted.ConnectionState().NegotiatedProtocol != "h2" {
		return false
	}
	c.becomeHTTP2()
	return true
}

// becomeHTTP2 charges an HTTP/2 connection, and closes it if there is no room.
func (c *Conn) becomeHTTP2() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.http2.Store(true)
	// net/http counts 32 bytes for each field and holds at most as much twice.
	c.own += http2Bytes + 2*int64(c.table.headBytes())
	if !c.table.Charge(c.entry, c.own) {
		c.table.log(errNoHeadMemory.Error(), c.Conn)
		_ = c.Conn.Close()
	}
}

// handshake tells that the TLS greeting of the client was read. What follows may be requests.
func (c *Conn) handshake() {
	c.greeted, c.headBytes, c.lines, c.unparsed = true, 0, 0, 0
	c.charge(0)
}

// linesInRecords returns the most lines of headers in n encrypted bytes.
func (c *Conn) linesInRecords(n int) int {
	c.unparsed += int64(n)
	if !c.greeted {
		return greetingFactor * n / FieldBytes
	}
	return n / shortestLine
}

// linesUnparsed returns the most lines of headers in the encrypted bytes that were read beyond the
// requests that the server has parsed. The server calls it between requests.
func (c *Conn) linesUnparsed() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unparsed = min(max(c.unparsed-c.parsed-recordOverhead, 0), recordBytes)
	c.parsed = 0
	return int(c.unparsed) / shortestLine
}

// headLimit returns the most bytes of a header before its connection is refused. Encryption adds
// to them, and the server checks the header itself.
func (c *Conn) headLimit() int {
	if c.encrypted {
		return 2*c.table.headBytes() + handshakeBytes
	}
	return c.table.headBytes()
}
