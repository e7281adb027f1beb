package htapi

import (
	"encoding/json"
	"io"
	"mime"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// codec encodes and decodes bodies of one media type.
type codec struct {
	mediaType string
	encode    func(io.Writer, any) error
	decode    func([]byte, any) error
}

var (
	jsonCodec = codec{
		mediaType: "application/json",
		encode:    func(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) },
		decode:    json.Unmarshal,
	}
	cborCodec = codec{
		mediaType: "application/cbor",
		encode:    func(w io.Writer, v any) error { return cbor.NewEncoder(w).Encode(v) },
		decode:    cbor.Unmarshal,
	}
)

// codecFor returns the codec for a Content-Type, and false if the media type is not
// supported. An empty Content-Type means JSON.
func codecFor(contentType string) (codec, bool) {
	if contentType == "" {
		return jsonCodec, true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	if err != nil {
		return codec{}, false
	}
	for _, c := range []codec{jsonCodec, cborCodec} {
		if c.mediaType == mediaType {
			return c, true
		}
	}
	return codec{}, false
}

// acceptedCodec returns the codec for the response to a request with this Accept field.
// It falls back to JSON if no media type is supported, so that an error is always readable.
func acceptedCodec(accept string) codec {
	for _, part := range strings.Split(accept, ",") {
		mediaType, _, err := mime.ParseMediaType(part)
		if err != nil {
			continue
		}
		if mediaType == cborCodec.mediaType {
			return cborCodec
		}
		if mediaType == jsonCodec.mediaType || mediaType == "*/*" {
			return jsonCodec
		}
	}
	return jsonCodec
}
