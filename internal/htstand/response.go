package htstand

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// EchoResponse is the first line of the response body of a completed work request. The
// request body follows it unchanged, so that the caller can check that the response
// is complete and belongs to its request.
type EchoResponse struct {
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Upstream  string `json:"upstream"`
	Size      int    `json:"size"` // length of the request body in bytes
}

// encode returns the response body: the line, with Size set, and the request body.
func (e EchoResponse) encode(body []byte) ([]byte, error) {
	e.Size = len(body)
	line, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	return append(append(line, '\n'), body...), nil
}

// DecodeEchoResponse splits the response body of a completed work request into the
// first line and the echoed request body. It returns an error if the response body is
// incomplete or malformed.
func DecodeEchoResponse(content []byte) (EchoResponse, []byte, error) {
	line, body, found := bytes.Cut(content, []byte("\n"))
	if !found {
		return EchoResponse{}, nil, errors.New("response has no complete first line")
	}
	var e EchoResponse
	if err := json.Unmarshal(line, &e); err != nil {
		return EchoResponse{}, nil, fmt.Errorf("decode response: %w", err)
	}
	if e.Size != len(body) {
		return EchoResponse{}, nil, fmt.Errorf("response echoes %d bytes, want %d", len(body), e.Size)
	}
	return e, body, nil
}
