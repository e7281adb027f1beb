package htstand

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// EchoResponse is the first line of the body of an answer to work. The request body
// follows it unchanged, so that the caller can check that the answer is whole and
// its own.
type EchoResponse struct {
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Upstream  string `json:"upstream"`
	Size      int    `json:"size"` // bytes that follow the line
}

// encode returns the answer with the body that it belongs to.
func (a EchoResponse) encode(body []byte) ([]byte, error) {
	a.Size = len(body)
	line, err := json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return append(append(line, '\n'), body...), nil
}

// DecodeEchoResponse splits the body of an answer to work into the answer line and the
// echoed body. It returns an error if the answer is not whole.
func DecodeEchoResponse(content []byte) (EchoResponse, []byte, error) {
	line, body, found := bytes.Cut(content, []byte("\n"))
	if !found {
		return EchoResponse{}, nil, errors.New("answer without a whole first line")
	}
	var a EchoResponse
	if err := json.Unmarshal(line, &a); err != nil {
		return EchoResponse{}, nil, fmt.Errorf("decode answer: %w", err)
	}
	if a.Size != len(body) {
		return EchoResponse{}, nil, fmt.Errorf("answer has %d bytes, not the %d announced", len(body), a.Size)
	}
	return a, body, nil
}
