package htfair

import (
	"math"
	"time"
)

const (
	// minBacklog is the time in which the calls that wait could be sent, from which on they count as
	// waiting. Upstreams that change make some calls wait at any time.
	minBacklog = 3 * time.Millisecond
	// growth and idleGrowth are the factors of the work that is sent on time by which the line lets
	// more through: a little while calls wait, so that a line which is too low rises, and more while
	// none waits, when there is more room than is used.
	growth     = 1.05
	idleGrowth = 1.5
	// headroom is the part of the work that is sent on time which is kept free of the less urgent
	// classes while calls of a more urgent one wait.
	headroom = 0.3
	// burst is the work that an account may use at once beyond its share, as the time in which it is
	// done: the arrivals of a small account vary.
	burst = 250 * time.Millisecond
	// minLevel is the multiple of its usual load up to which an account is not held back while there
	// is room for the more urgent classes. Loads vary by as much without any cause.
	minLevel = 1.25
	// maxLevel bounds the multiples of the usual load that are tried.
	maxLevel = 1 << 20
	// levelSteps is the number of halvings by which a level is found.
	levelSteps = 30
)

// Line is the admission line of a service: the multiple of its usual load up to which an account
// may use upstreams, by class. All hosts that add up the same demands have the same line.
type Line struct {
	levels map[int]float64
	rest   float64 // level of classes without demand
	// uses are the multiples of their usual loads that the accounts furthest above them use on all
	// hosts.
	uses map[lineKey]float64
}

type lineKey struct {
	class   int
	account Ref
}

// NewLine returns the line that shares the room which the demands show: more urgent classes first,
// and within a class so that each account gets what it asks for, up to one multiple of its usual
// load. What no account may be served less than goes before that. The demands are sorted by class.
func NewLine(demands []Demand) Line {
	line := Line{levels: map[int]float64{}, rest: math.Inf(1), uses: map[lineKey]float64{}}
	var total Load
	waiting, onTime := 0.0, 0.0
	for i := range demands {
		d := &demands[i]
		total = total.plus(d.total())
		waiting += d.Waiting
		onTime += d.OnTime
		least := max(d.meanUsual(), minUsualRate)
		for ref, l := range d.Accounts {
			line.uses[lineKey{d.Class, ref}] = max(l.Used-burst.Seconds(), 0) / max(l.Usual, least)
		}
	}
	room := onTime * growth
	if waiting <= minBacklog.Seconds()*onTime {
		room = onTime * idleGrowth
	}
	if total.Asked <= room {
		return line
	}
	floor := minServedShare * room / total.Asked
	for i := range demands {
		room -= demands[i].need(floor)
	}
	least, urgentWaits := minLevel, false
	for i := range demands {
		d := &demands[i]
		if i > 0 && !urgentWaits && demands[i-1].Waiting > minBacklog.Seconds()*onTime {
			urgentWaits = true
			room -= headroom * onTime
		}
		level, used := d.fill(floor, max(room, 0))
		room -= used
		line.levels[d.Class] = max(level, least)
		if !math.IsInf(level, 1) {
			least = floor // the room ends in this class
		}
	}
	line.rest = least
	return line
}

// meanUsual returns the mean usual load of the accounts.
func (d *Demand) meanUsual() float64 {
	return d.total().Usual / float64(max(len(d.Accounts)+d.Others, 1))
}

// need returns the work of the accounts if each gets what it asks for, up to a multiple of its usual
// load.
func (d *Demand) need(level float64) float64 {
	sum := min(d.Rest.Asked, level*d.Rest.Usual)
	for _, l := range d.Accounts {
		sum += min(l.Asked, level*l.Usual)
	}
	return sum
}

// fill returns the multiple of the usual load that takes the room, if each account gets the floor
// anyway, and the room that it takes. It is infinite if all demand fits.
func (d *Demand) fill(floor, room float64) (level, used float64) {
	given := d.need(floor)
	if all := d.total().Asked - given; all <= room {
		return math.Inf(1), all
	}
	low, high := floor, floor+1
	for d.need(high)-given < room && high < maxLevel {
		high *= 2
	}
	for range levelSteps {
		if middle := (low + high) / 2; d.need(middle)-given < room {
			low = middle
		} else {
			high = middle
		}
	}
	return low, room
}

// Level returns the multiple of its usual load up to which an account of a class may use
// upstreams; it is infinite if there is room for all.
func (l Line) Level(class int) float64 {
	if level, ok := l.levels[class]; ok {
		return level
	}
	return l.rest
}

// Levels returns the levels of the classes that are held back.
func (l Line) Levels() map[int]float64 {
	levels := map[int]float64{}
	for class, level := range l.levels {
		if !math.IsInf(level, 1) {
			levels[class] = level
		}
	}
	return levels
}

// Use returns the multiple of its usual load that a group uses on all hosts. Those that the demands
// don't name are not above it; what this host knows of them counts.
func (l Line) Use(local float64, of Group) float64 {
	if use, ok := l.uses[lineKey{of.Class, RefOf(of.Account)}]; ok {
		return use
	}
	return min(local, 1)
}

// Delay returns the time until an account that uses a multiple of its usual load is at a level, if it
// is sent nothing until then.
func Delay(use, level float64) time.Duration {
	if use <= level {
		return 0
	}
	return time.Duration(float64(useDecay) * math.Log(use/max(level, minUsualRate)))
}
