package htpeer

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htview"
)

// maxMessageBytes bounds a control message. The largest is the handover of a key partition
// with its stored answers.
const maxMessageBytes = 96 << 20

// ErrRejected means that the peer answered a message with an error.
var ErrRejected = errors.New("peer rejected the message")

// fieldError carries the name of one of the knownErrors in the response to a message.
const fieldError = "Ht-Error"

// knownErrors are the errors that senders handle specifically, by their name in fieldError.
var knownErrors = []struct {
	name string
	err  error
}{
	{"not-owner", htview.ErrNotOwner},
	{"not-member", htview.ErrNotMember},
	{"lease-moved", htview.ErrStaleRenewal},
}

// errorName returns the name of a known error, or an empty string.
func errorName(err error) string {
	for _, known := range knownErrors {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return ""
}

// rejectionError returns the error for a peer's error response. It wraps ErrRejected and the
// known error with that name, if there is one.
func rejectionError(name, path string, text []byte) error {
	for _, known := range knownErrors {
		if known.name == name {
			return fmt.Errorf("%w: %s: %w", ErrRejected, path, known.err)
		}
	}
	return fmt.Errorf("%w: %s: %s", ErrRejected, path, bytes.TrimSpace(text))
}

// Handle returns an HTTP handler that decodes a CBOR message, passes it to serve
// and encodes its result.
func Handle[Req, Resp any](serve func(context.Context, Req) (Resp, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request Req
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err == nil {
			err = cbor.Unmarshal(data, &request)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		response, err := serve(r.Context(), request)
		if err != nil {
			w.Header().Set(fieldError, errorName(err))
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		data, err = cbor.Marshal(response)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	})
}

// exchange sends a message to a path of a peer and decodes the response.
func exchange[Req, Resp any](ctx context.Context, c *Client, address, path string, message Req) (Resp, error) {
	var result Resp
	data, err := cbor.Marshal(message)
	if err != nil {
		return result, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+address+path, bytes.NewReader(data))
	if err != nil {
		return result, err
	}
	response, err := c.roundTrip(request, address)
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return result, err
	}
	if response.StatusCode != http.StatusOK {
		return result, rejectionError(response.Header.Get(fieldError), path, data)
	}
	return result, cbor.Unmarshal(data, &result)
}

// encodeField encodes a value for a header field.
func encodeField[T any](value T) (string, error) {
	data, err := cbor.Marshal(value)
	return base64.RawURLEncoding.EncodeToString(data), err
}

// decodeField decodes a value from a header field.
func decodeField[T any](text string) (T, error) {
	var value T
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return value, err
	}
	return value, cbor.Unmarshal(data, &value)
}
