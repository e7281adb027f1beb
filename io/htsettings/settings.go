package htsettings

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Settings are the settings of one entry host.
type Settings struct {
	Name              string        `yaml:"name"`
	FailureDomain     string        `yaml:"failure-domain"`
	Listen            Listen        `yaml:"listen"`
	Platform          Platform      `yaml:"platform"`
	PeerTLS           PeerTLS       `yaml:"peer-tls"`
	CallerTLS         *CallerTLS    `yaml:"caller-tls"` // nil means that callers use plain HTTP
	Operators         []Operator    `yaml:"operators"`
	Lease             Lease         `yaml:"lease"`
	HeartbeatInterval time.Duration `yaml:"heartbeat-interval"`
	MaxClockSkew      time.Duration `yaml:"max-clock-skew"`
	Limits            Limits        `yaml:"limits"`
	LogLevel          logrus.Level  `yaml:"log-level"`
	StopNotice        time.Duration `yaml:"stop-notice"`   // time between /ready failing and leaving the view
	DrainTimeout      time.Duration `yaml:"drain-timeout"` // bound on the wait for calls in flight in a planned stop
}

// Listen holds the listen addresses. Peers is also the address that other hosts
// use, so it must name one IP address.
type Listen struct {
	Callers   netip.AddrPort `yaml:"callers"`
	Peers     netip.AddrPort `yaml:"peers"` // UDP
	Operators netip.AddrPort `yaml:"operators"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table    string `yaml:"table"`
	HostList string `yaml:"host-list"`
}

// PeerTLS names the PEM files for mutual TLS between entry hosts.
type PeerTLS struct {
	CA   string `yaml:"ca"`
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// CallerTLS names the PEM files for TLS towards callers.
type CallerTLS struct {
	Cert string `yaml:"cert"`
	Key  string `yaml:"key"`
}

// Role is what an operator's key permits.
type Role string

// The roles of operators. A writer may also read.
const (
	RoleReader Role = "reader"
	RoleWriter Role = "writer"
)

// Operator is one key of the operators' API.
type Operator struct {
	Name string `yaml:"name"`
	Key  string `yaml:"key"`
	Role Role   `yaml:"role"`
}

// Lease holds the timings of the leases by which hosts show that they are alive (section 5
// of docs/design.md and package htview).
type Lease struct {
	RenewInterval   time.Duration `yaml:"renew"`          // time between lease writes
	Duration        time.Duration `yaml:"duration"`       // validity of a lease, counted from just before its write was sent
	TakeoverDelay   time.Duration `yaml:"takeover-delay"` // time without a change after which a lease row counts as expired
	HoldDuration    time.Duration `yaml:"hold-duration"`  // time for which a host that gives a hold removes no member
	UnlistedTimeout time.Duration `yaml:"gone-after"`     // time without a host list entry after which a silent host counts as ended
}

// Limits bound the size of requests from callers and operators, and what the process holds.
type Limits struct {
	HeaderBytes int64 `yaml:"header-bytes"`
	BodyBytes   int64 `yaml:"body-bytes"`
	MemoryBytes int64 `yaml:"memory-bytes"` // of the process
	Descriptors int64 `yaml:"descriptors"`  // of the process; 0: as many as the system allows it
}

// Defaults returns the values of settings that a file leaves out.
func Defaults() Settings {
	return Settings{
		Lease: Lease{
			RenewInterval:   1500 * time.Millisecond,
			Duration:        5 * time.Second,
			TakeoverDelay:   7 * time.Second,
			HoldDuration:    5 * time.Second,
			UnlistedTimeout: 60 * time.Second,
		},
		HeartbeatInterval: 500 * time.Millisecond,
		MaxClockSkew:      500 * time.Millisecond,
		Limits:            Limits{HeaderBytes: 64 << 10, BodyBytes: 16 << 20, MemoryBytes: 256 << 20},
		LogLevel:          logrus.InfoLevel,
		StopNotice:        5 * time.Second,
		DrainTimeout:      60 * time.Second,
	}
}
