package htresource

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htfinding"
)

const valid = `kind: failure-domain
name: fd-a
region: west
state: in
---
kind: pool
name: lookup
upstreams:
  - {name: w1, address: "127.0.0.1:21000", failure-domain: fd-a, slots: 2}
---
kind: rule
name: lookups
service: lookup
methods: [GET]
path-prefix: /
---
kind: service
name: lookup
hosts: [lookup.test]
pool: lookup
`

// Guards against an invalid declaration that is accepted, hidden by another finding or
// reported at the wrong line.
func TestDecodeFileFindings(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"valid", "", "", nil},
		{"unknown field", "region: west", "zone: west", []string{"f:3: failure-domain/fd-a.zone: unknown field"}},
		{"unknown kind", "kind: rule", "kind: rules", []string{"f:11: kind: must be one of"}},
		{"wrong type", "slots: 2", "slots: two", []string{"f:9: pool/lookup.upstreams[0].slots: must be an integer"}},
		{"undeclared domain", "failure-domain: fd-a", "failure-domain: fd-b", []string{
			`f:9: pool/lookup.upstreams[0].failure-domain: failure domain "fd-b" is not declared`,
		}},
		{"undeclared pool", "pool: lookup", "pool: other", []string{`f:20: service/lookup.pool: pool "other" is not declared`}},
		{"missing field", "state: in\n", "", []string{`f:1: failure-domain/fd-a.state: must be "in" or "out", not ""`}},
		{"duplicate name", "kind: rule", "kind: failure-domain\nname: fd-a\nstate: broken\n---\nkind: rule", []string{
			`f:12: failure-domain/fd-a.name: duplicate failure-domain, also at f:2`,
			`f:13: failure-domain/fd-a.state: must be "in" or "out"`,
		}},
		{"not a number", "slots: 2}", "slots: 2}\nprobe-budget: .nan", []string{"f:10: pool/lookup.probe-budget: must be a number"}},
		{"alias", "region: west", "region: &r west\nstate: *r\n", []string{"f:4: failure-domain/fd-a.state: aliases", "f:6: failure-domain/fd-a.state: duplicate key"}},
		{"empty", valid, "# nothing\n", []string{"no declarations found"}},
		{"no mapping", "kind: rule", "- 1\n---\nkind: rule", []string{"f:11: must be a mapping"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, findings := DecodeFile("f", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			if len(findings) != len(tt.want) {
				t.Fatalf("findings = %v, want %v", findings, tt.want)
			}
			for i, f := range findings {
				if !strings.HasPrefix(f.Error(), tt.want[i]) {
					t.Errorf("finding = %v, want %v", f, tt.want[i])
				}
			}
		})
	}
}

// Guards against rejecting references between files, and against treating an empty
// directory as a request to delete everything.
func TestLoadDir(t *testing.T) {
	head, tail, _ := strings.Cut(valid, "---\nkind: rule")
	fsys := fstest.MapFS{
		"b/domains.yaml": {Data: []byte(head)},
		"a.yml":          {Data: []byte("kind: rule" + tail)},
		"notes.txt":      {Data: []byte("not yaml: [")},
	}
	set, findings := LoadDir(fsys)
	if findings != nil || len(set.All()) != 4 {
		t.Errorf("set = %v, findings = %v", set, findings)
	}
	if _, findings := LoadDir(fstest.MapFS{}); findings == nil {
		t.Error("an empty directory has no finding")
	}
}

// Guards against a codec that loses a field, skips the checks or accepts unknown fields.
func TestWire(t *testing.T) {
	set, _ := DecodeFile("f", []byte(valid))
	set.Revision = 7
	set.Pools[0].MaxConnections = 200
	codecs := []struct {
		name      string
		marshal   func(any) ([]byte, error)
		unmarshal func([]byte, any) error
	}{
		{"json", json.Marshal, json.Unmarshal},
		{"cbor", cbor.Marshal, cbor.Unmarshal},
	}
	for _, c := range codecs {
		t.Run(c.name, func(t *testing.T) {
			data, err := c.marshal(set)
			if err != nil {
				t.Fatal(err)
			}
			var decoded Set
			if err := c.unmarshal(data, &decoded); err != nil || decoded.Revision != 7 || len(Diff(&set, &decoded)) > 0 {
				t.Errorf("decoded %+v, %v", decoded, err)
			}
			for field, valid := range map[string]bool{"region": true, "zone": false} {
				data, _ = c.marshal(map[string]any{"name": "a", "state": "in", field: "x"})
				if err := c.unmarshal(data, new(FailureDomain)); (err == nil) != valid {
					t.Errorf("decoding field %s: %v", field, err)
				}
			}
			data, _ = c.marshal(map[string]any{"name": "a", "state": "off"})
			if err := c.unmarshal(data, new(FailureDomain)); err == nil {
				t.Error("a failure domain with an invalid state was accepted")
			}
			data, _ = c.marshal(map[string]any{"failure-domains": []any{map[string]any{"name": "A", "state": "no"}}})
			var list htfinding.List
			if err := c.unmarshal(data, new(Set)); !errors.As(err, &list) || len(list) != 2 {
				t.Errorf("findings = %v, want name and state", err)
			}
		})
	}
	if l := (Pool{Name: "p", ProbesPerSec: math.NaN()}).Check(); len(l) != 1 {
		t.Errorf("findings for NaN = %v", l)
	}
}

// Guards against input on which the decoder panics or hangs, and against an accepted set
// that fails its own checks or changes when it is encoded and decoded.
func FuzzDecodeFile(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("kind: pool\nname: &a [*a]\n"))
	f.Add([]byte("kind: service\nname: s\n---\n"))
	f.Add([]byte("? {kind: pool}\n: <<"))
	f.Fuzz(func(t *testing.T, data []byte) {
		set, findings := DecodeFile("f", data)
		if findings != nil {
			return
		}
		if l := set.Check(); l != nil {
			t.Fatalf("accepted set has findings %v", l)
		}
		encoded, err := cbor.Marshal(set)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Set
		if err := cbor.Unmarshal(encoded, &decoded); err != nil || len(Diff(&set, &decoded)) > 0 {
			t.Fatalf("decoded %+v, %v", decoded, err)
		}
	})
}
