package htstand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// maxBody bounds what a stand-in reads of one request.
const maxBody = 64 << 20

// decodeJSON decodes a request body. Fields that it does not name keep their value.
func decodeJSON(body []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	return nil
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client left; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// ErrorResponse is the body of an answer that reports an error.
type ErrorResponse struct {
	Error string `json:"error"`
}

func answerError(w http.ResponseWriter, status int, err error) {
	answerJSON(w, status, ErrorResponse{Error: err.Error()})
}
