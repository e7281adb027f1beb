package htapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"hawthornturn/core/htconfig"
	"hawthornturn/core/htresource"
)

// maxLineBytes bounds one line of a watch and the body of an error response.
const maxLineBytes = 16 << 20

// Client calls the operators' API. If a server cannot be reached, it tries the next one.
type Client struct {
	servers []string
	key     string
	codec   codec
	http    *http.Client
}

// NewClient returns a Client. Each server is an IP:port, reached over http, or a URL.
func NewClient(servers []string, key string) *Client {
	c := &Client{key: key, codec: jsonCodec, http: &http.Client{}}
	for _, s := range servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c
}

// UseCBOR makes the client send and accept CBOR.
func (c *Client) UseCBOR() {
	c.codec = cborCodec
}

// Get returns a resource and its version, which is 0 while the table service is down.
func Get[T htresource.Resource](ctx context.Context, c *Client, name string) (Item[T], error) {
	var item Item[T]
	path := "/v1/" + string(item.Resource.Kind()) + "/" + url.PathEscape(name)
	header, err := c.call(ctx, http.MethodGet, path, nil, nil, &item.Resource)
	if err == nil && header.Get("ETag") != "" {
		item.Version, err = parseETag(header.Get("ETag"))
	}
	return item, err
}

// GetList returns all resources of a kind.
func GetList[T htresource.Resource](ctx context.Context, c *Client) (List[T], error) {
	var zero T
	var l List[T]
	_, err := c.call(ctx, http.MethodGet, "/v1/"+string(zero.Kind()), nil, nil, &l)
	return l, err
}

// Put creates or replaces a resource. With a zero Precondition, it only creates one. If the
// stored resource is identical, Put succeeds without a change whatever the Precondition is.
func (c *Client) Put(ctx context.Context, resource htresource.Resource, expect htconfig.Precondition) (htconfig.Result, error) {
	var result htconfig.Result
	path := "/v1/" + string(resource.Kind()) + "/" + url.PathEscape(resource.ResourceName())
	header, err := c.call(ctx, http.MethodPut, path, ifMatch(expect), resource, &result)
	if err == nil && header.Get("ETag") != "" {
		result.Version, err = parseETag(header.Get("ETag"))
	}
	return result, err
}

// Delete removes a resource.
func (c *Client) Delete(ctx context.Context, kind htresource.Kind, name string, expect htconfig.Precondition) (htconfig.Result, error) {
	var result htconfig.Result
	path := "/v1/" + string(kind) + "/" + url.PathEscape(name)
	_, err := c.call(ctx, http.MethodDelete, path, ifMatch(expect), nil, &result)
	return result, err
}

// Apply replaces the whole declared state, or only returns the changes if dryRun is set.
func (c *Client) Apply(ctx context.Context, set *htresource.Set, expect htconfig.Precondition, dryRun bool) (htconfig.Result, error) {
	query := url.Values{"dry-run": {strconv.FormatBool(dryRun)}}
	if !expect.Any {
		query.Set("revision", strconv.FormatUint(expect.Version, 10))
	}
	var result htconfig.Result
	_, err := c.call(ctx, http.MethodPost, "/v1/apply?"+query.Encode(), nil, set, &result)
	return result, err
}

// Status returns the status of a revision, or of the newest one if revision is 0.
func (c *Client) Status(ctx context.Context, revision uint64) (htconfig.Status, error) {
	var status htconfig.Status
	path := "/v1/status"
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	_, err := c.call(ctx, http.MethodGet, path, nil, nil, &status)
	return status, err
}

// Dump copies the state dump of a host, as JSON, to w.
func (c *Client) Dump(ctx context.Context, w io.Writer) error {
	response, err := c.send(ctx, http.MethodGet, "/v1/dump", nil, nil, jsonCodec)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(w, response.Body)
	return err
}

// Watch calls handle for each event whose revision is at least from. It returns an
// error when ctx ends, handle fails or the connection closes.
func (c *Client) Watch(ctx context.Context, from uint64, handle func(Event) error) error {
	response, err := c.send(ctx, http.MethodGet, "/v1/watch?from="+strconv.FormatUint(from, 10), nil, nil, jsonCodec)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var event Event
		if err := json.Unmarshal(scanner.Bytes(), &event); err != nil {
			return err
		}
		if err := handle(event); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return fmt.Errorf("watch ended by the host: %w", io.ErrUnexpectedEOF)
}

func ifMatch(expect htconfig.Precondition) http.Header {
	switch {
	case expect.Any:
		return http.Header{"If-Match": {"*"}}
	case expect.Version > 0:
		return http.Header{"If-Match": {formatETag(expect.Version)}}
	}
	return nil
}

// call sends a request, decodes the response into out and returns the response header.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, in, out any) (http.Header, error) {
	var body []byte
	if in != nil {
		var buffer bytes.Buffer
		if err := c.codec.encode(&buffer, in); err != nil {
			return nil, err
		}
		body = buffer.Bytes()
	}
	response, err := c.send(ctx, method, path, header, body, c.codec)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	return response.Header, c.codec.decode(data, out)
}

// send tries the servers in order until one responds. A request other than GET is
// retried on the next server only if dialing failed: otherwise the first server may
// have accepted it, and a retry could revert a later change.
func (c *Client) send(ctx context.Context, method, path string, header http.Header, body []byte, codec codec) (*http.Response, error) {
	err := errors.New("no server given")
	for _, server := range c.servers {
		var response *http.Response
		response, err = c.sendTo(ctx, server, method, path, header, body, codec)
		if err == nil {
			return response, nil
		}
		var problem *Problem
		var dial *net.OpError
		dialFailed := errors.As(err, &dial) && dial.Op == "dial"
		if errors.As(err, &problem) || ctx.Err() != nil || (method != http.MethodGet && !dialFailed) {
			return nil, err
		}
	}
	return nil, err
}

func (c *Client) sendTo(ctx context.Context, server, method, path string, header http.Header, body []byte, codec codec) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, server+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Accept", codec.mediaType)
	if len(body) > 0 {
		request.Header.Set("Content-Type", codec.mediaType)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	problem := &Problem{}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	decoder, ok := codecFor(response.Header.Get("Content-Type"))
	if err != nil || !ok || decoder.decode(data, problem) != nil || problem.Status == 0 {
		problem = &Problem{Status: response.StatusCode, Message: fmt.Sprintf("%s: %s", server, response.Status)}
	}
	return nil, problem
}
