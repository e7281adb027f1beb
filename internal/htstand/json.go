package htstand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// maxBodyBytes bounds the number of bytes that a test server reads from a request body.
const maxBodyBytes = 64 << 20

// decodeJSON decodes a request body. Fields of into that the body does not name keep
// their values. Unknown fields are an error.
func decodeJSON(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client disconnected, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(value)
}

// ErrorResponse is the body of a response that reports an error.
type ErrorResponse struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, ErrorResponse{Error: err.Error()})
}
