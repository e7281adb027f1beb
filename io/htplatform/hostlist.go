package htplatform

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
)

// The states of a listed host.
const (
	HostLive    = "live"
	HostLeaving = "leaving"
)

// ListedHost is one entry of the host list.
type ListedHost struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// HostList is the client of the platform's host list, which lags and may be wrong.
type HostList struct {
	client *Client
}

// NewHostList returns a HostList of the platform that s names.
func NewHostList(s Settings) *HostList {
	return &HostList{client: NewClient(s)}
}

// Close closes idle connections.
func (l *HostList) Close() {
	l.client.close()
}

// Hosts returns the listed hosts. It omits entries with an unknown state.
func (l *HostList) Hosts(ctx context.Context) ([]ListedHost, error) {
	var listed []ListedHost
	if err := l.client.Do(ctx, http.MethodGet, "/hosts", nil, &listed); err != nil {
		return nil, fmt.Errorf("read host list: %w", err)
	}
	known := listed[:0]
	for _, h := range listed {
		if h.State == HostLive || h.State == HostLeaving {
			known = append(known, h)
		}
	}
	return known, nil
}

// registration is the request body of Register.
type registration struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// Register adds a host to the list or changes its state.
func (l *HostList) Register(ctx context.Context, name, address, state string) error {
	body := registration{Name: name, Address: address, State: state}
	if err := l.client.Do(ctx, http.MethodPut, "/hosts/"+url.PathEscape(name), body, nil); err != nil {
		return fmt.Errorf("register host %s: %w", name, err)
	}
	return nil
}
