package htcapacity

import (
	_ "embed" // the page's template
	"fmt"
	"math"
	"strconv"
	"strings"
	"text/template"
)

//go:embed page.md.tmpl
var pageTemplate string

// Page renders docs/CAPACITY.md from the measured series. The page has no figures of its
// own, so it can differ from the file only if it was not rendered again.
func Page(file *File) (string, error) {
	figures, err := Figures(file)
	if err != nil {
		return "", err
	}
	functions := template.FuncMap{
		"fig": func(name string) (string, error) {
			f, ok := figures[name]
			if !ok {
				return "", fmt.Errorf("unknown figure %q", name)
			}
			return f.String(), nil
		},
		"series": func() []Series { return file.Series },
		"cells":  formatCells,
		"bars":   func(s Series) string { return strings.Repeat("---:|", len(s.Units)) },
	}
	page, err := template.New("page").Funcs(functions).Option("missingkey=error").Parse(pageTemplate)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	if err := page.Execute(&out, nil); err != nil {
		return "", err
	}
	return out.String(), nil
}

// formatCells formats the values of a point as the cells of a table row.
func formatCells(p Point) string {
	var row []string
	for _, v := range p.Values {
		row = append(row, formatNumber(v))
	}
	return strings.Join(row, " | ")
}

// String formats the figure with its unit and the first letter of its status.
func (f Figure) String() string {
	value, unit := f.Value, f.Unit
	switch unit {
	case "B", "B/s":
		value, unit = scaleBytes(value, unit)
	case "us", "us/s":
		unit = strings.Replace(unit, "us", "µs", 1)
	}
	text := formatNumber(value)
	if unit == "%" || strings.HasPrefix(unit, "/") {
		text += unit
	} else if unit != "" {
		text += " " + unit
	}
	return text + " (" + string(f.Status)[:1] + ")"
}

// scaleBytes scales a number of bytes and gives the unit the matching decimal prefix.
func scaleBytes(value float64, unit string) (float64, string) {
	for _, prefix := range []string{"", "k", "M"} {
		if math.Abs(value) < 1000 {
			return value, prefix + unit
		}
		value /= 1000
	}
	return value, "G" + unit
}

// formatNumber formats a value with three significant digits, or as a whole number if it
// has more than two digits before the decimal point.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 {
		return groupThousands(strconv.FormatFloat(math.Round(v), 'f', 0, 64))
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}

func groupThousands(digits string) string {
	sign := ""
	if strings.HasPrefix(digits, "-") {
		sign, digits = "-", digits[1:]
	}
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return sign + digits
}
