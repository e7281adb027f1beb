package htcrowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// meterInterval is the time between two measurements.
const meterInterval = 20 * time.Millisecond

// Meter measures what a process holds.
type Meter struct {
	pid       int
	addresses map[string]bool // of its listeners, as in /proc/net/tcp
	stop      context.CancelFunc
	running   sync.WaitGroup

	memory  int64 // most bytes at a time: resident memory and bytes in the queues of its sockets
	queued  int64 // most bytes in these queues
	sockets int
}

// StartMeter measures a process with listeners at some addresses until Check is called.
func StartMeter(t testing.TB, pid int, listeners ...string) *Meter {
	t.Helper()
	m := &Meter{pid: pid, addresses: map[string]bool{}}
	for _, address := range listeners {
		a := netip.MustParseAddrPort(address)
		ip := a.Addr().As4()
		m.addresses[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())] = true
	}
	ctx, stop := context.WithCancel(t.Context())
	m.stop = stop
	m.running.Go(func() {
		for ctx.Err() == nil {
			m.measure()
			time.Sleep(meterInterval)
		}
	})
	t.Cleanup(func() { stop(); m.running.Wait() })
	return m
}

func (m *Meter) measure() {
	queued := m.queuedBytes()
	m.queued = max(m.queued, queued)
	m.memory = max(m.memory, queued+m.status("VmRSS"))
	m.sockets = max(m.sockets, m.countSockets())
}

// Check stops the meter and compares what it measured with limits of the process, in bytes and
// sockets.
func (m *Meter) Check(t testing.TB, memory int64, sockets int) {
	t.Helper()
	m.stop()
	m.running.Wait()
	m.memory = max(m.memory, m.status("VmHWM"))
	t.Logf("%d MiB of memory, of which up to %d MiB in queues of sockets; %d sockets", m.memory>>20, m.queued>>20, m.sockets)
	if m.memory > memory {
		t.Errorf("%d MiB of memory, %d are allowed", m.memory>>20, memory>>20)
	}
	if m.sockets > sockets {
		t.Errorf("%d sockets, %d are allowed", m.sockets, sockets)
	}
}

// status returns a size in /proc/PID/status in bytes, or 0 if the process has ended.
func (m *Meter) status(name string) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), name+":")
	kilobytes, _ := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	return kilobytes << 10
}

func (m *Meter) countSockets() int {
	descriptors, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", m.pid))
	n := 0
	for _, d := range descriptors {
		if target, err := os.Readlink(d); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// queuedBytes returns the bytes that the kernel holds for the connections of the listeners:
// received and not yet read, or written and not yet received.
func (m *Meter) queuedBytes() int64 {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const state, listening = 3, "0A"
	total := int64(0)
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !m.addresses[fields[1]] || fields[state] == listening {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += n
		}
	}
	return total
}
