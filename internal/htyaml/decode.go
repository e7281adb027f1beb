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

// MaxDocuments bounds the YAML documents of one file.
const MaxDocuments = 100000

// ParseDocuments parses data into the root nodes of its YAML documents. Empty
// documents are left out. A syntax error ends the parsing, because what follows
// it cannot be told apart from its consequences.
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

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): `)

// syntaxFinding moves the line out of the message of a parse error.
func syntaxFinding(file string, err error) htfinding.Finding {
	message := err.Error()
	line := 0
	if m := syntaxLine.FindStringSubmatch(message); m != nil {
		line, _ = strconv.Atoi(m[1])
		message = message[len(m[0]):]
	}
	return htfinding.Finding{File: file, Line: line, Message: strings.TrimPrefix(message, "yaml: ")}
}

// Decoder decodes the nodes of one file and remembers the line of each field.
type Decoder struct {
	File     string
	Findings htfinding.List

	lines     map[string]int
	malformed map[string]bool
}

// New returns a Decoder for nodes of a file.
func New(file string) *Decoder {
	return &Decoder{File: file, lines: map[string]int{}, malformed: map[string]bool{}}
}

// Decode stores node in the struct that into points to. The field names of its
// findings start with prefix.
func (d *Decoder) Decode(node *yaml.Node, prefix string, into any) {
	d.lines[""] = node.Line
	d.value(node, prefix, reflect.ValueOf(into).Elem())
}

// AddFindings takes the findings of a check of what was decoded here and sets their file
// and line. It drops those of malformed fields: such a field kept its default, so
// the check reports a second problem that the file does not have.
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

// Line returns the line of a field or, if the field is absent, of the closest
// field around it.
func (d *Decoder) Line(field string) int {
	for {
		if line, ok := d.lines[field]; ok {
			return line
		}
		if field == "" {
			return 0
		}
		field = parent(field)
	}
}

func (d *Decoder) isMalformed(field string) bool {
	for field != "" {
		if d.malformed[field] {
			return true
		}
		field = parent(field)
	}
	return false
}

// malformedf reports a value that could not be stored in its field.
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

func (d *Decoder) value(node *yaml.Node, field string, into reflect.Value) {
	if _, ok := d.lines[field]; !ok {
		d.lines[field] = node.Line
	}
	if node.Kind == yaml.AliasNode {
		d.malformedf(node, field, "aliases are not supported")
		return
	}
	if text, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(node, field, text)
		return
	}
	if into.Type() == durationType {
		d.duration(node, field, into)
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(node, field, into.Elem())
	case reflect.Struct:
		d.fields(node, field, into)
	case reflect.Slice:
		d.items(node, field, into)
	default:
		d.scalar(node, field, into)
	}
}

func (d *Decoder) fields(node *yaml.Node, field string, into reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.malformedf(node, field, "must be a mapping")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := join(field, key.Value)
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
		d.value(value, name, target)
	}
}

func (d *Decoder) items(node *yaml.Node, field string, into reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.malformedf(node, field, "must be a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content)))
	for i, item := range node.Content {
		d.value(item, fmt.Sprintf("%s[%d]", field, i), into.Index(i))
	}
}

func (d *Decoder) text(node *yaml.Node, field string, into encoding.TextUnmarshaler) {
	if node.Kind != yaml.ScalarNode {
		d.malformedf(node, field, "must be a single value")
		return
	}
	if err := into.UnmarshalText([]byte(node.Value)); err != nil {
		d.malformedf(node, field, "%v", err)
	}
}

func (d *Decoder) duration(node *yaml.Node, field string, into reflect.Value) {
	value, err := time.ParseDuration(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		d.malformedf(node, field, "must be a duration such as 1.5s, not %q", node.Value)
		return
	}
	into.SetInt(int64(value))
}

func (d *Decoder) scalar(node *yaml.Node, field string, into reflect.Value) {
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
		panic("htyaml: no decoding for " + into.Type().String())
	}
	d.malformedf(node, field, "must be %s", want)
}

// fieldByTag returns the struct field whose yaml tag has the name.
func fieldByTag(into reflect.Value, name string) (reflect.Value, bool) {
	for i := range into.NumField() {
		tag, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("yaml"), ",")
		if tag != "" && tag != "-" && tag == name {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}

// parent returns the field around a field, or "" for an outermost one.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}
