package htresource

import (
	"io/fs"
	"path"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"hawthornturn/core/htfinding"
	"hawthornturn/core/htyaml"
)

// DecodeFile decodes the declarations of a file and checks them as a complete set.
// The file name is used only in findings.
func DecodeFile(name string, data []byte) (Set, htfinding.List) {
	var c collector
	c.addFile(name, data)
	return c.build()
}

// LoadDir decodes all .yaml and .yml files of fsys and checks their declarations as
// one complete set.
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
		c.addFile(name, data)
		return nil
	})
	if err != nil {
		c.findings.Addf("", "read declarations: %v", err)
	}
	return c.build()
}

// declaration is a resource and the decoder that maps its fields to lines.
type declaration struct {
	resource Resource
	decoder  *htyaml.Decoder
}

// collector collects the declarations and findings of several files.
type collector struct {
	declared []declaration
	findings htfinding.List
}

func (c *collector) addFile(name string, data []byte) {
	roots, findings := htyaml.ParseDocuments(name, data)
	c.findings = append(c.findings, findings...)
	for _, root := range roots {
		c.addDocument(name, root)
	}
}

func (c *collector) addDocument(name string, root *yaml.Node) {
	if root.Kind != yaml.MappingNode {
		c.findings = append(c.findings, htfinding.Finding{File: name, Line: root.Line, Message: "must be a mapping with a kind"})
		return
	}
	kind, line := extractKind(root)
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

// build builds the set, checks it and adds the line to each finding. If a name is
// declared twice, the set contains only the first declaration. Input without
// declarations is a finding, because it is more likely a mistake than a request to
// delete everything.
func (c *collector) build() (Set, htfinding.List) {
	if len(c.declared) == 0 && len(c.findings) == 0 {
		c.findings.Addf("", "no declarations found")
	}
	var set Set
	first := map[string]*htyaml.Decoder{}
	for _, d := range c.declared {
		key := Key(d.resource)
		if earlier := first[key]; earlier != nil {
			var l htfinding.List
			l.Addf(key+".name", "duplicate %s, also at %s:%d", d.resource.Kind(), earlier.File, earlier.Line(key+".name"))
			for _, f := range d.resource.Check() {
				l.Addf(key+"."+f.Field, "%s", f.Message)
			}
			d.decoder.AddFindings(l)
			continue
		}
		first[key] = d.decoder
		set.Add(d.resource)
	}
	for _, f := range set.Check() {
		key := f.Field
		for first[key] == nil {
			key = key[:max(strings.LastIndexAny(key, ".["), 0)]
		}
		first[key].AddFindings(htfinding.List{f})
	}
	for _, d := range c.declared {
		c.findings = append(c.findings, d.decoder.Findings...)
	}
	if len(c.findings) > 0 {
		return Set{}, c.findings.Sorted()
	}
	return set, nil
}

// extractKind removes the kind from a mapping, because the resource types have no such
// field, and returns its value and line.
func extractKind(root *yaml.Node) (string, int) {
	for i := 0; i+1 < len(root.Content); i += 2 {
		if key, value := root.Content[i], root.Content[i+1]; key.Value == "kind" {
			root.Content = slices.Delete(root.Content, i, i+2)
			return value.Value, value.Line
		}
	}
	return "", root.Line
}

// scalarField returns the string value of a field of a mapping, or an empty string.
func scalarField(root *yaml.Node, name string) string {
	for i := 0; i+1 < len(root.Content); i += 2 {
		if root.Content[i].Value == name && root.Content[i+1].Tag == "!!str" {
			return root.Content[i+1].Value
		}
	}
	return ""
}
