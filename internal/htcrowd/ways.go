package htcrowd

import (
	"crypto/tls"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Sizes of what crowds send.
const (
	Size      = 500     // connections
	BodyBytes = 1 << 20 // largest body inside the limits of the tests
	HeadBytes = 16 << 10
)

// Bodies of the crowds.
var (
	LargeBody   = strings.Repeat("x", BodyBytes-1)
	MediumBody  = strings.Repeat("x", BodyBytes/4-1)
	SmallChunks = strings.Repeat("80\r\n"+strings.Repeat("x", 0x80)+"\r\n", BodyBytes/4/0x80)
	LargeChunks = strings.Repeat("10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n", 4*BodyBytes/0x10000)
	extensions  = strings.Repeat("1;"+strings.Repeat("a=b;", 64)+"\r\nx\r\n", 2000)
)

// ShortFields returns distinct header fields of n bytes in all, or slightly fewer.
func ShortFields(n int) string {
	var b strings.Builder
	for i := 36; b.Len() < n-10; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strings.ToLower(string("abcdefghijklmnopqrstuvwxyz0123456789"[i%36]))+fmt.Sprint(i/36))
	}
	return b.String()
}

// Way is a way in which clients misbehave. Each connection of a crowd sends the bytes of one way
// and stays open.
type Way struct {
	Name     string
	Method   string // GET if empty
	Head     string // header fields after Host, with their line ends
	Rest     string // what follows the fields
	Times    int    // requests on each connection, if more than one
	Piece    int    // bytes per write; 0: all at once
	Pause    time.Duration
	ReadRate int           // bytes of answers that are read per second; 0: they are not read
	HalfEnd  bool          // closes the connection for writing once all is sent
	Returns  bool          // opens a new connection when one is closed
	TLS      *tls.Config   // nil: connections are not encrypted
	Padding  int64         // bytes of the upstreams' answers
	Slots    int           // of each upstream, if not those of the test
	Work     time.Duration // of the upstreams on a request that is not idempotent
}

// Text returns the bytes that each connection sends. Fields are header fields with their line
// ends. A path is requested with the method GET if get is true, whatever the way.
func (w *Way) Text(path, fields string, get bool) string {
	method := "GET"
	if w.Method != "" && !get {
		method = w.Method
	}
	return strings.Repeat(fmt.Sprintf("%s %s HTTP/1.1\r\n%s%s%s", method, path, fields, w.Head, w.Rest), max(w.Times, 1))
}

// Ways are crowds that send one kind of bytes and never read.
var Ways = []Way{
	{Name: "whole body", Method: "POST", Head: fmt.Sprintf("Content-Length: %d\r\n", BodyBytes), Rest: "\r\n" + LargeBody},
	{Name: "body in small pieces", Method: "POST", Head: fmt.Sprintf("Content-Length: %d\r\n", BodyBytes/4), Rest: "\r\n" + MediumBody, Piece: 1 << 10},
	{Name: "body in chunks", Method: "POST", Head: "Transfer-Encoding: chunked\r\n", Rest: "\r\n" + SmallChunks},
	{Name: "body over the limit", Method: "POST", Head: "Content-Length: 1099511627776\r\n", Rest: "\r\n" + LargeChunks},
	{Name: "chunks over the limit", Method: "POST", Head: "Transfer-Encoding: chunked\r\n", Rest: "\r\n" + LargeChunks},
	{Name: "short fields", Method: "POST", Head: "Content-Length: 2\r\n" + ShortFields(HeadBytes-200), Rest: "\r\nx"},
	{Name: "short fields without an end", Method: "POST", Head: ShortFields(HeadBytes - 200)},
	{Name: "short fields in trailers", Method: "POST", Head: "Transfer-Encoding: chunked\r\n", Rest: "\r\n1\r\nx\r\n0\r\n" + ShortFields(HeadBytes)},
	{Name: "chunk extensions", Method: "POST", Head: "Transfer-Encoding: chunked\r\n", Rest: "\r\n" + extensions},
	{Name: "requests ahead", Rest: "\r\n", Times: 8000},
	{Name: "requests ahead with room at workers", Rest: "\r\n", Times: 8000, Slots: Size},
	{Name: "requests ahead with large answers", Rest: "\r\n", Times: 8000, Padding: 256 << 10},
	{Name: "slow head", Method: "POST", Head: strings.Repeat("a:b\r\n", 100), Piece: 1, Pause: 100 * time.Millisecond},
	{Name: "slow body", Method: "POST", Head: "Content-Length: 100000\r\n", Rest: "\r\n" + LargeBody[:50000], Piece: 500, Pause: 100 * time.Millisecond},
	{Name: "answers not read", Rest: "\r\n", Padding: 1 << 20},
}

// SlowReaders read long answers slowly and come back when they are closed.
var SlowReaders = Way{Name: "slow readers", Rest: "\r\n", Padding: 512 << 10, ReadRate: 20 << 10, Returns: true}

// SteadyReaders read as SlowReaders do, but faster.
var SteadyReaders = Way{Name: "steady readers", Rest: "\r\n", Padding: 512 << 10, ReadRate: 50 << 10, Returns: true}

// BusyCallers always have another request on their connections, and read the answers.
var BusyCallers = Way{Name: "busy callers", Rest: "\r\n", Times: 8000, ReadRate: 1 << 20, Returns: true}

// Returning returns the Ways with these names, whose clients come back when they are closed. Without
// names it returns all.
func Returning(names ...string) []Way {
	var ways []Way
	for _, way := range Ways {
		if len(names) == 0 || slices.Contains(names, way.Name) {
			way.Returns = true
			ways = append(ways, way)
		}
	}
	return ways
}

// HalfEnding returns ways whose clients close their side once all is sent.
func HalfEnding(ways []Way) []Way {
	for i := range ways {
		ways[i].HalfEnd = true
	}
	return ways
}
