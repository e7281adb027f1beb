package htcapacity

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// File holds the measured series from which docs/CAPACITY.md is rendered.
type File struct {
	Series []Series `yaml:"series"`
}

// Series is one or more quantities measured at several sizes.
type Series struct {
	Name    string   `yaml:"name"`
	Command string   `yaml:"command"` // command that repeats the measurement
	X       string   `yaml:"x"`       // quantity that Point.Size counts
	Units   []string `yaml:"units"`   // names of the columns of Point.Values, with their units
	Machine Machine  `yaml:"machine"`
	Points  []Point  `yaml:"points"`
}

// Machine describes the machine of a measurement and the time of the measurement.
type Machine struct {
	Date  string `yaml:"date"`
	Cores int    `yaml:"cores"`
	Go    string `yaml:"go"`
	Load  string `yaml:"load-average"` // average over one minute, at the end of the measurement
}

// Point holds the values measured at one size, in the order of Series.Units.
type Point struct {
	Size   float64   `yaml:"size"`
	Values []float64 `yaml:"values,flow"`
}

// ErrNoSeries means that the file lacks a series or a column of a series.
var ErrNoSeries = errors.New("series not in the file")

// Read reads the file at path. It returns an empty File if there is no file at path.
func Read(path string) (*File, error) {
	f := &File{}
	data, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, err
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Write writes the file to path.
func (f *File) Write(path string) error {
	data, err := yaml.Marshal(f)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o644)
}

// Put adds a series or replaces the series of the same name.
func (f *File) Put(s Series) {
	f.Series = slices.DeleteFunc(f.Series, func(o Series) bool { return o.Name == s.Name })
	f.Series = append(f.Series, s)
	slices.SortFunc(f.Series, func(a, b Series) int { return strings.Compare(a.Name, b.Name) })
}

// Find returns the series with the given name, or ErrNoSeries.
func (f *File) Find(name string) (Series, error) {
	for _, s := range f.Series {
		if s.Name == name {
			return s, nil
		}
	}
	return Series{}, fmt.Errorf("%w: %s", ErrNoSeries, name)
}

// Column returns the sizes and the values of a unit, in the order of Points, or
// ErrNoSeries if a point has no value for the unit.
func (s Series) Column(unit string) (sizes, values []float64, err error) {
	at := slices.Index(s.Units, unit)
	if at < 0 {
		return nil, nil, fmt.Errorf("%w: %s, %s", ErrNoSeries, s.Name, unit)
	}
	for _, p := range s.Points {
		if at >= len(p.Values) {
			return nil, nil, fmt.Errorf("%w: %s, %s at size %g", ErrNoSeries, s.Name, unit, p.Size)
		}
		sizes = append(sizes, p.Size)
		values = append(values, p.Values[at])
	}
	return sizes, values, nil
}

// thisMachine describes the machine at the time of the call.
func thisMachine() Machine {
	load := "unknown"
	if data, err := os.ReadFile("/proc/loadavg"); err == nil {
		load, _, _ = strings.Cut(string(data), " ")
	}
	return Machine{
		Date:  time.Now().UTC().Format("2006-01-02 15:04"),
		Cores: runtime.NumCPU(),
		Go:    runtime.Version(),
		Load:  load,
	}
}
