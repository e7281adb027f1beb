package htresource

import (
	"io/fs"
	"path"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"hawthornturn/core/htfinding"
	"hawthornturn/internal/htyaml"
)

// DecodeFile decodes the declarations of a file and checks them as a whole set.
// The name of the file is only for findings.
func DecodeFile(name string, data []byte) (Set, htfinding.List) {
	var c collector
	c.file(name, data)
	return c.finish()
}

// LoadDir decodes the .yaml and .yml files below the root of fsys and checks them
// as one set.
func LoadDir(fsys fs.FS) (Set, htfinding.List) {
	var c collector
	err := fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() || !slices.Contains([]string{".yaml", ".yml"}, path.Ext(name)) {
			return nil
		}
		data, err := fs.ReadFile(fsys, name)
		if err != nil {
			return err
		}
		c.file(name, data)
		return nil
	})
	if err != nil {
		c.findings.Addf("", "read declarations: %v", err)
	}
	return c.finish()
}

// declaration is one resource with the decoder that knows its lines.
type declaration struct {
	resource Resource
	decoder  *htyaml.Decoder
}

// collector gathers the declarations of several files.
type collector struct {
	declared []declaration
	findings htfinding.List
}

func (c *collector) file(name string, data []byte) {
	roots, findings := htyaml.ParseDocuments(name, data)
	c.findings = append(c.findings, findings...)
	for _, root := range roots {
		c.document(name, root)
	}
}

func (c *collector) document(name string, root *yaml.Node) {
	if root.Kind != yaml.MappingNode {
		c.findings = append(c.findings, htfinding.Finding{File: name, Line: root.Line, Message: "must be a mapping with a kind"})
		return
	}
	kind, line := takeKind(root)
	prefix := kind + "/" + scalarField(root, "name")
	decoder := htyaml.New(name)
	var resource Resource
	switch Kind(kind) {
	case KindFailureDomain:
		resource = decode[FailureDomain](decoder, root, prefix)
	case KindPool:
		resource = decode[Pool](decoder, root, prefix)
	case KindRule:
		resource = decode[Rule](decoder, root, prefix)
	case KindService:
		resource = decode[Service](decoder, root, prefix)
	default:
		f := htfinding.Finding{File: name, Line: line, Field: "kind"}
		f.Message = "must be one of failure-domain, pool, rule, service"
		c.findings = append(c.findings, f)
		return
	}
	c.declared = append(c.declared, declaration{resource, decoder})
}

func decode[T Resource](decoder *htyaml.Decoder, root *yaml.Node, prefix string) Resource {
	var resource T
	decoder.Decode(root, prefix, &resource)
	return resource
}

// finish builds the set, checks it and gives each finding its line. Only the
// first declaration of a name enters the set. Input without declarations is a
// finding: applying it would delete everything, and it is more likely a mistake.
func (c *collector) finish() (Set, htfinding.List) {
	if len(c.declared) == 0 && len(c.findings) == 0 {
		c.findings.Addf("", "no declarations found")
	}
	var set Set
	first := map[string]*htyaml.Decoder{}
	for _, d := range c.declared {
		place := Key(d.resource)
		if earlier := first[place]; earlier != nil {
			var l htfinding.List
			l.Addf(place+".name", "duplicate %s, also at %s:%d", d.resource.Kind(), earlier.File, earlier.Line(place+".name"))
			for _, f := range d.resource.Check() {
				l.Addf(place+"."+f.Field, "%s", f.Message)
			}
			d.decoder.AddFindings(l)
			continue
		}
		first[place] = d.decoder
		set.Add(d.resource)
	}
	for _, f := range set.Check() {
		place := f.Field
		for first[place] == nil {
			place = place[:max(strings.LastIndexAny(place, ".["), 0)]
		}
		first[place].AddFindings(htfinding.List{f})
	}
	for _, d := range c.declared {
		c.findings = append(c.findings, d.decoder.Findings...)
	}
	if len(c.findings) > 0 {
		return Set{}, c.findings.Sorted()
	}
	return set, nil
}

// takeKind removes the kind from a mapping, because it is not a field of the
// resource types, and returns its value and line.
func takeKind(root *yaml.Node) (string, int) {
	for i := 0; i+1 < len(root.Content); i += 2 {
		if key, value := root.Content[i], root.Content[i+1]; key.Value == "kind" {
			root.Content = slices.Delete(root.Content, i, i+2)
			return value.Value, value.Line
		}
	}
	return "", root.Line
}

func scalarField(root *yaml.Node, name string) string {
	for i := 0; i+1 < len(root.Content); i += 2 {
		if root.Content[i].Value == name && root.Content[i+1].Tag == "!!str" {
			return root.Content[i+1].Value
		}
	}
	return ""
}
