package htcrowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Single is a request inside all limits, which a host serves as long as no crowd is there.
type Single struct {
	Name  string
	Head  string // header fields after Host, with their line ends
	Body  string
	Piece int // bytes per write; 0: all at once
	Pause time.Duration
}

// Singles are requests at the limits, or sent slowly.
var Singles = []Single{
	{Name: "largest body", Head: fmt.Sprintf("Content-Length: %d\r\n", BodyBytes), Body: LargeBody + "x"},
	{Name: "largest body in small pieces", Head: fmt.Sprintf("Content-Length: %d\r\n", BodyBytes), Body: LargeBody + "x", Piece: 2 << 10},
	{Name: "body in chunks", Head: "Transfer-Encoding: chunked\r\n", Body: SmallChunks + "0\r\n\r\n"},
	{Name: "slow body", Head: "Content-Length: 50\r\n", Body: LargeBody[:50], Piece: 1, Pause: 20 * time.Millisecond},
	{Name: "most fields", Head: "Content-Length: 1\r\n" + ShortFields(HeadBytes-200), Body: "x"},
	{Name: "longest field", Head: "Content-Length: 1\r\nLong: " + strings.Repeat("x", HeadBytes-200) + "\r\n", Body: "x"},
	{Name: "slow head", Head: "Content-Length: 1\r\n" + strings.Repeat("a:b\r\n", 20), Body: "x", Piece: 4, Pause: 20 * time.Millisecond},
}

// Send sends the request to a path. Fields are its first header fields, with their line ends.
func (s *Single) Send(conn net.Conn, path, fields string) error {
	text := "POST " + path + " HTTP/1.1\r\n" + fields + s.Head + "\r\n" + s.Body
	piece := s.Piece
	if piece == 0 {
		piece = len(text)
	}
	for ; text != ""; time.Sleep(s.Pause) {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}
