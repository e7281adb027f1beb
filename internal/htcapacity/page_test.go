package htcapacity

import (
	"math"
	"os"
	"testing"
)

// TestPageMatchesFile guards against a page whose figures do not follow from the
// measured series because only one of the two files was edited.
func TestPageMatchesFile(t *testing.T) {
	file, err := Read("../../docs/capacity.yaml")
	if err != nil {
		t.Fatal(err)
	}
	want, err := Page(file)
	if err != nil {
		t.Fatal(err)
	}
	have, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(have) != want {
		t.Error("docs/CAPACITY.md differs from docs/capacity.yaml; render it with: go run ./cmd/htlab capacity page")
	}
}

// TestSeriesHaveFourSizes guards against fits through too few points and against series
// that no measurement can repeat.
func TestSeriesHaveFourSizes(t *testing.T) {
	file, err := Read("../../docs/capacity.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range Measurements {
		s, err := file.Find(m.Name)
		if err != nil {
			t.Error(err)
			continue
		}
		if len(s.Points) < 4 {
			t.Errorf("%s has %d sizes", s.Name, len(s.Points))
		}
	}
	if len(file.Series) != len(Measurements) {
		t.Errorf("%d series for %d measurements", len(file.Series), len(Measurements))
	}
}

// TestFitLine guards against a wrong slope, on which all extrapolations depend.
func TestFitLine(t *testing.T) {
	fit := fitLine([]float64{1, 2, 4, 8}, []float64{5, 7, 11, 19})
	if math.Abs(fit.Intercept-3) > 1e-9 || math.Abs(fit.Slope-2) > 1e-9 {
		t.Errorf("fit of 3+2x is %+v", fit)
	}
}

// TestHostsServeTheCalls guards against a number of hosts that cannot serve the calls at
// the cost per call that results from this number of hosts.
func TestHostsServeTheCalls(t *testing.T) {
	file, err := Read("../../docs/capacity.yaml")
	if err != nil {
		t.Fatal(err)
	}
	figures, err := Figures(file)
	if err != nil {
		t.Fatal(err)
	}
	need := designCalls * figures["call-cpu"].Value
	have := figures["hosts"].Value * assumedCores * assumedUtilization * 1e6
	if need > have || have > 1.05*need {
		t.Errorf("calls need %g us per second, hosts provide %g", need, have)
	}
}
