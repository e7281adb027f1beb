package htsettings

import (
	"fmt"
	"os"
	"path/filepath"

	"hawthornturn/core/htfinding"
	"hawthornturn/core/htyaml"
)

// Load reads and checks the settings file at path. Relative names of TLS files are resolved
// against the directory of the settings file. The error is an htfinding.List if the content is
// invalid.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	settings, findings := Decode(path, data)
	if err := findings.Err(); err != nil {
		return Settings{}, err
	}
	settings.resolve(filepath.Dir(path))
	return settings, nil
}

// Decode decodes and checks settings. The name of the file appears only in findings.
func Decode(name string, data []byte) (Settings, htfinding.List) {
	settings := Defaults()
	roots, findings := htyaml.ParseDocuments(name, data)
	if len(findings) > 0 {
		return settings, findings
	}
	if len(roots) != 1 {
		return settings, htfinding.List{{File: name, Message: fmt.Sprintf("must hold one document, not %d", len(roots))}}
	}
	decoder := htyaml.New(name)
	decoder.Decode(roots[0], "", &settings)
	decoder.AddFindings(settings.Check())
	return settings, decoder.Findings.Sorted()
}

// resolve makes the names of TLS files relative to dir unless they are absolute.
func (s *Settings) resolve(dir string) {
	files := []*string{&s.PeerTLS.CA, &s.PeerTLS.Cert, &s.PeerTLS.Key}
	if s.CallerTLS != nil {
		files = append(files, &s.CallerTLS.Cert, &s.CallerTLS.Key)
	}
	for _, file := range files {
		if !filepath.IsAbs(*file) {
			*file = filepath.Join(dir, *file)
		}
	}
}
