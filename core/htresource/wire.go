package htresource

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"hawthornturn/core/htfinding"
)

// The types below have the fields of the resource types but not their methods, so
// decoding them does not run the checks. A Set is thereby decoded completely before it
// is checked, and the error contains all findings.
type (
	wireDomain  FailureDomain
	wirePool    Pool
	wireRule    Rule
	wireService Service
	wireSet     struct {
		Revision uint64        `json:"revision" cbor:"revision"`
		Domains  []wireDomain  `json:"failure-domains" cbor:"failure-domains"`
		Pools    []wirePool    `json:"pools" cbor:"pools"`
		Rules    []wireRule    `json:"rules" cbor:"rules"`
		Services []wireService `json:"services" cbor:"services"`
	}
)

// strictCBOR rejects unknown fields and duplicate keys. A host that does not know a
// field must not apply a configuration that depends on it.
var strictCBOR = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxArrayElements:  1 << 20,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// UnmarshalJSON decodes and checks a failure domain.
func (d *FailureDomain) UnmarshalJSON(data []byte) error {
	return unmarshalJSON(data, (*wireDomain)(d), d)
}

// UnmarshalCBOR decodes and checks a failure domain.
func (d *FailureDomain) UnmarshalCBOR(data []byte) error {
	return unmarshalCBOR(data, (*wireDomain)(d), d)
}

// UnmarshalJSON decodes and checks a pool.
func (p *Pool) UnmarshalJSON(data []byte) error { return unmarshalJSON(data, (*wirePool)(p), p) }

// UnmarshalCBOR decodes and checks a pool.
func (p *Pool) UnmarshalCBOR(data []byte) error { return unmarshalCBOR(data, (*wirePool)(p), p) }

// UnmarshalJSON decodes and checks a rule.
func (r *Rule) UnmarshalJSON(data []byte) error { return unmarshalJSON(data, (*wireRule)(r), r) }

// UnmarshalCBOR decodes and checks a rule.
func (r *Rule) UnmarshalCBOR(data []byte) error { return unmarshalCBOR(data, (*wireRule)(r), r) }

// UnmarshalJSON decodes and checks a service.
func (s *Service) UnmarshalJSON(data []byte) error {
	return unmarshalJSON(data, (*wireService)(s), s)
}

// UnmarshalCBOR decodes and checks a service.
func (s *Service) UnmarshalCBOR(data []byte) error {
	return unmarshalCBOR(data, (*wireService)(s), s)
}

// UnmarshalJSON decodes a set and checks it, including the references in it.
func (s *Set) UnmarshalJSON(data []byte) error {
	var wire wireSet
	if err := unmarshalJSON(data, &wire, nil); err != nil {
		return err
	}
	s.assign(wire)
	return s.Check().Err()
}

// UnmarshalCBOR decodes a set and checks it, including the references in it.
func (s *Set) UnmarshalCBOR(data []byte) error {
	var wire wireSet
	if err := unmarshalCBOR(data, &wire, nil); err != nil {
		return err
	}
	s.assign(wire)
	return s.Check().Err()
}

// assign replaces s by the contents of wire, without checks.
func (s *Set) assign(wire wireSet) {
	*s = Set{Revision: wire.Revision}
	for _, d := range wire.Domains {
		s.Domains = append(s.Domains, FailureDomain(d))
	}
	for _, p := range wire.Pools {
		s.Pools = append(s.Pools, Pool(p))
	}
	for _, r := range wire.Rules {
		s.Rules = append(s.Rules, Rule(r))
	}
	for _, v := range wire.Services {
		s.Services = append(s.Services, Service(v))
	}
}

// checker is implemented by pointers to resources. A method value would not work here,
// because it is bound to a copy of the resource from before decoding.
type checker interface{ Check() htfinding.List }

// unmarshalJSON decodes data into target, rejects unknown fields and trailing data, and
// then calls decoded.Check unless decoded is nil.
func unmarshalJSON(data []byte, target any, decoded checker) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return wireFinding(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return htfinding.List{{Message: "more than one JSON value"}}
	}
	if decoded == nil {
		return nil
	}
	return decoded.Check().Err()
}

// unmarshalCBOR decodes data into target in strict mode, and then calls decoded.Check
// unless decoded is nil.
func unmarshalCBOR(data []byte, target any, decoded checker) error {
	if err := strictCBOR.Unmarshal(data, target); err != nil {
		return wireFinding(err)
	}
	if decoded == nil {
		return nil
	}
	return decoded.Check().Err()
}

// wireFinding converts an error of a decoder to a finding.
func wireFinding(err error) error {
	var jsonType *json.UnmarshalTypeError
	if errors.As(err, &jsonType) {
		return htfinding.List{{Field: jsonType.Field, Message: fmt.Sprintf("must be %v, not %s", jsonType.Type, jsonType.Value)}}
	}
	return htfinding.List{{Message: err.Error()}}
}

// DecodeJSON decodes and checks a resource of a given kind.
func DecodeJSON(kind Kind, data []byte) (Resource, error) {
	switch kind {
	case KindFailureDomain:
		return decodeResource[FailureDomain](data)
	case KindPool:
		return decodeResource[Pool](data)
	case KindRule:
		return decodeResource[Rule](data)
	case KindService:
		return decodeResource[Service](data)
	}
	return nil, fmt.Errorf("unknown kind %q", kind)
}

func decodeResource[T Resource](data []byte) (Resource, error) {
	var resource T
	err := json.Unmarshal(data, &resource)
	return resource, err
}
