package htyaml

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"hawthornturn/core/htfinding"
)

// MaxDocuments bounds the number of YAML documents in one file.
const MaxDocuments = 100000

// ParseDocuments parses data and returns the root nodes of its YAML documents. It
// skips empty documents. It stops at the first syntax error, because errors after it
// may only be its consequences.
func ParseDocuments(file string, data []byte) ([]*yaml.Node, htfinding.List) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var roots []*yaml.Node
	for range MaxDocuments {
		var document yaml.Node
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return roots, nil
		}
		if err != nil {
			return roots, htfinding.List{syntaxFinding(file, err)}
		}
		if len(document.Content) != 1 || document.Content[0].Tag == "!!null" {
			continue
		}
		roots = append(roots, document.Content[0])
	}
	return roots, htfinding.List{{File: file, Message: fmt.Sprintf("more than %d documents", MaxDocuments)}}
}

var syntaxErrorLine = regexp.MustCompile(`^yaml: line (\d+): `)

// syntaxFinding converts a parse error to a finding and moves the line number from the
// message to the finding's Line.
func syntaxFinding(file string, err error) htfinding.Finding {
	message := err.Error()
	line := 0
	if m := syntaxErrorLine.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = message[len(m[0]):]
	}
	return htfinding.Finding{File: file, Line: line, Message: strings.TrimPrefix(message, "yaml: ")}
}

// Decoder decodes the nodes of one file and records the line of each field.
type Decoder struct {
	File     string
	Findings htfinding.List

	lines     map[string]int
	malformed map[string]bool
}

// New returns a Decoder for the nodes of a file.
func New(file string) *Decoder {
	return &Decoder{File: file, lines: map[string]int{}, malformed: map[string]bool{}}
}

// Decode stores node in the struct that into points to. The field names in its
// findings start with prefix.
func (d *Decoder) Decode(node *yaml.Node, prefix string, into any) {
	d.lines[""] = node.Line
	d.decodeValue(node, prefix, reflect.ValueOf(into).Elem())
}

// AddFindings adds the findings of a check of the decoded values and sets their file
// and line. It drops findings about malformed fields: such a field kept its default,
// so the check would report a second problem that the file does not have.
func (d *Decoder) AddFindings(findings htfinding.List) {
	for _, f := range findings {
		if d.isMalformed(f.Field) {
			continue
		}
		f.File = d.File
		f.Line = d.Line(f.Field)
		d.Findings = append(d.Findings, f)
	}
}

// Line returns the line of a field or, if the field is absent, of its closest
// enclosing field. It returns 0 if there is none.
func (d *Decoder) Line(field string) int {
	for {
		if line, ok := d.lines[field]; ok {
			return line
		}
		if field == "" {
			return 0
		}
		field = parentField(field)
	}
}

func (d *Decoder) isMalformed(field string) bool {
	for field != "" {
		if d.malformed[field] {
			return true
		}
		field = parentField(field)
	}
	return false
}

// malformedf adds a finding about a value that could not be stored in its field and
// marks the field as malformed.
func (d *Decoder) malformedf(node *yaml.Node, field, format string, args ...any) {
	d.malformed[field] = true
	d.addf(node, field, format, args...)
}

func (d *Decoder) addf(node *yaml.Node, field, format string, args ...any) {
	d.Findings = append(d.Findings, htfinding.Finding{
		File: d.File, Line: node.Line, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *Decoder) decodeValue(node *yaml.Node, field string, into reflect.Value) {
	if _, ok := d.lines[field]; !ok {
		d.lines[field] = node.Line
	}
	if node.Kind == yaml.AliasNode {
		d.malformedf(node, field, "aliases are not supported")
		return
	}
	if text, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(node, field, text)
		return
	}
	if into.Type() == durationType {
		d.decodeDuration(node, field, into)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decodeValue(node, field, into.Elem())
	case reflect.Struct:
		d.decodeStruct(node, field, into)
	case reflect.Slice:
		d.decodeSlice(node, field, into)
	default:
		d.decodeScalar(node, field, into)
	}
}

func (d *Decoder) decodeStruct(node *yaml.Node, field string, into reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.malformedf(node, field, "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := joinField(field, key.Value)
		if seen[key.Value] {
			d.addf(key, name, "duplicate key")
			continue
		}
		seen[key.Value] = true
		target, ok := fieldByTag(into, key.Value)
		if !ok || key.Kind != yaml.ScalarNode {
			d.addf(key, name, "unknown field")
			continue
		}
		d.lines[name] = key.Line
		d.decodeValue(value, name, target)
	}
}

func (d *Decoder) decodeSlice(node *yaml.Node, field string, into reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.malformedf(node, field, "must be a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content)))
	for i, item := range node.Content {
		d.decodeValue(item, fmt.Sprintf("%s[%d]", field, i), into.Index(i))
	}
}

func (d *Decoder) decodeText(node *yaml.Node, field string, into encoding.TextUnmarshaler) {
	if node.Kind != yaml.ScalarNode {
		d.malformedf(node, field, "must be a single value")
		return
	}
	if err := into.UnmarshalText([]byte(node.Value)); err != nil {
		d.malformedf(node, field, "%v", err)
	}
}

func (d *Decoder) decodeDuration(node *yaml.Node, field string, into reflect.Value) {
	value, err := time.ParseDuration(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		d.malformedf(node, field, "must be a duration such as 1.5s, not %q", node.Value)
		return
	}
	into.SetInt(int64(value))
}

func (d *Decoder) decodeScalar(node *yaml.Node, field string, into reflect.Value) {
	want := ""
	switch into.Kind() {
	case reflect.String:
		want = "a string"
		if node.Tag == "!!str" && node.Kind == yaml.ScalarNode {
			into.SetString(node.Value)
			return
		}
	case reflect.Bool:
		want = "true or false"
		var value bool
		if node.Tag == "!!bool" && node.Decode(&value) == nil {
			into.SetBool(value)
			return
		}
	case reflect.Int, reflect.Int64:
		want = "an integer"
		var value int64
		if node.Tag == "!!int" && node.Decode(&value) == nil {
			into.SetInt(value)
			return
		}
	case reflect.Float64:
		want = "a number"
		var value float64
		number := node.Tag == "!!int" || node.Tag == "!!float"
		if number && node.Decode(&value) == nil && !math.IsNaN(value) && !math.IsInf(value, 0) {
			into.SetFloat(value)
			return
		}
	default:
		panic("htyaml: unsupported type " + into.Type().String())
	}
	d.malformedf(node, field, "must be %s", want)
}

// fieldByTag returns the struct field with the name in its yaml tag.
func fieldByTag(into reflect.Value, name string) (reflect.Value, bool) {
	for i := range into.NumField() {
		tag, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("yaml"), ",")
		if tag != "" && tag != "-" && tag == name {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func joinField(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// parentField returns the enclosing field of a field, or "" for a top-level field.
func parentField(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}
