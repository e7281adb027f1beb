package htgossip

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmirror"
	"hawthornturn/core/htrollout"
	"hawthornturn/core/htroute"
)

const (
	// SyncPath is the HTTP path at which a host serves the rows of its mirror.
	SyncPath = "/rows"
	// syncTimeout bounds one exchange between hosts, after which another host is asked. An
	// exchange takes a few milliseconds, and some tenths of a second for the largest
	// configuration over a link of 10 Mbit/s.
	syncTimeout = 700 * time.Millisecond
	// syncIdleTimeout is short because changes are rare and an idle connection may stop
	// working unnoticed.
	syncIdleTimeout = time.Second
	// maxEncoders bounds the responses that are encoded at a time: a compressor takes about a
	// megabyte.
	maxEncoders = 4
	// maxSyncBytes bounds a response, both compressed and decompressed.
	maxSyncBytes = 64 << 20
	// eraParameter is the query parameter of the era to which the versions of the other
	// parameters belong; 0 if it is missing, as in requests of hosts that know no eras.
	eraParameter = "era"
)

// Rows is the response to a host whose tables are behind.
type Rows struct {
	Deltas  []htmirror.Delta     `cbor:"1,keyasint"`
	Members []htgroup.Member     `cbor:"2,keyasint,omitempty"`
	Crashes []htroute.CrashCount `cbor:"3,keyasint,omitempty"`
	Leaving []Incarnation        `cbor:"4,keyasint,omitempty"` // upstreams that announced their leaving
	Carried *htmirror.Carried    `cbor:"6,keyasint,omitempty"` // rows of earlier eras of the store that are still in use
	// Rollouts are the stages of the roll-outs, without the counts.
	Rollouts []htrollout.Report `cbor:"5,keyasint,omitempty"`
}

// Source returns the rows that changed after a position. For a position in an earlier era, it
// returns all rows, and for one in a later era none.
type Source func(after htmirror.Position) Rows

// Handler returns the HTTP handler for SyncPath.
func Handler(source Source) http.HandlerFunc {
	encoders := make(chan struct{}, maxEncoders)
	return func(w http.ResponseWriter, r *http.Request) {
		var after htmirror.Position
		for t := range after.Versions {
			n, err := strconv.ParseInt(r.FormValue(htmirror.Table(t).String()), 10, 64)
			if err != nil || n < 0 {
				http.Error(w, "version of a table is missing or not a number", http.StatusBadRequest)
				return
			}
			after.Versions[t] = n
		}
		if era := r.FormValue(eraParameter); era != "" {
			n, err := strconv.ParseInt(era, 10, 64)
			if err != nil || n < 0 {
				http.Error(w, "era is not a number", http.StatusBadRequest)
				return
			}
			after.Era = n
		}
		encoders <- struct{}{}
		data, err := encodeRows(source(after))
		<-encoders
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	}
}

// compressors keeps compressors for further use. With a new one for each response, hosts that are
// asked in quick succession would outgrow their memory before it is collected.
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // flate.BestSpeed is a valid level
	}
	return compressor
}}

// encodeRows returns rows in compressed CBOR. They are compressed because large
// configurations are repetitive and many hosts fetch them at the same time.
func encodeRows(rows Rows) ([]byte, error) {
	var data bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&data)
	if err := cbor.NewEncoder(compressor).Encode(rows); err != nil {
		return nil, fmt.Errorf("encode rows: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("compress rows: %w", err)
	}
	return data.Bytes(), nil
}

// decodeRows decodes and validates the output of encodeRows.
func decodeRows(data []byte) (Rows, error) {
	var rows Rows
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxSyncBytes))
	if err != nil {
		return Rows{}, fmt.Errorf("decompress rows: %w", err)
	}
	if err := cbor.Unmarshal(encoded, &rows); err != nil {
		return Rows{}, fmt.Errorf("decode rows: %w", err)
	}
	return rows, rows.validate()
}

// Client fetches rows from other hosts.
type Client struct {
	http *http.Client
}

// NewClient returns a Client without connections.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: syncTimeout}).DialContext,
		IdleConnTimeout:     syncIdleTimeout,
		MaxIdleConnsPerHost: 1,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport, Timeout: syncTimeout}}
}

// Fetch returns the rows of a host that changed after a position, or all if the host is in a
// newer era.
func (c *Client) Fetch(ctx context.Context, from netip.AddrPort, after htmirror.Position) (Rows, error) {
	query := fmt.Sprintf("?%s=%d", eraParameter, after.Era)
	for t, v := range after.Versions {
		query += fmt.Sprintf("&%s=%d", htmirror.Table(t), v)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+SyncPath+query, http.NoBody)
	if err != nil {
		return Rows{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Rows{}, fmt.Errorf("fetch rows: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxSyncBytes))
	if err != nil {
		return Rows{}, fmt.Errorf("read rows: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return Rows{}, fmt.Errorf("fetch rows: status %d: %s", response.StatusCode, data)
	}
	return decodeRows(data)
}

// validate returns errInvalidDelta if rows are of an unknown table, version or era.
func (r Rows) validate() error {
	for _, d := range r.Deltas {
		if !validDelta(d) {
			return errInvalidDelta
		}
	}
	for i := range r.Rollouts {
		if err := r.Rollouts[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}
