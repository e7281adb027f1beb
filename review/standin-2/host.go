package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Limits and bounds of the settings, those of a small deployment.
const (
	memoryMB = 284
	graceS   = 6
)

// entryHost is one process of the system, started with the command of the deploy file.
type entryHost struct {
	name    string
	ip      string
	front   string
	ready   string
	process *exec.Cmd
	exited  chan struct{}
	log     *os.File
}

// run is what one case has started: everything ends with it.
type run struct {
	program string // path of hawthornturn-entry
	dir     string
	net     string // the first three numbers of all addresses
	store   *store
	mu      sync.Mutex
	hosts   []*entryHost
	ports   [3]int // callers, readiness, first one between hosts
	record  *recorder
}

// newRun starts a store on a loopback network of its own.
func newRun(program string, record *recorder) (*run, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	r := &run{program: program, dir: dir, net: fmt.Sprintf("127.%d.%d", 16+pid/200%200, 1+pid%200), record: record}
	if r.store, err = startStore(r.net + ".1"); err != nil {
		return nil, err
	}
	for i := range r.ports {
		l, err := net.Listen("tcp4", r.net+".250:0")
		if err != nil {
			return nil, err
		}
		r.ports[i] = l.Addr().(*net.TCPAddr).Port
		defer l.Close()
	}
	return r, nil
}

// settings returns the settings file of a host.
func (r *run) settings(h *entryHost, zone string) string {
	control := r.ports[2] + 1
	return strings.Join([]string{
		"nodeName=" + h.name, "role=entry", "machineClass=front", "serves=front,control", "ip=" + h.ip,
		"zone=" + zone, "region=west", "zones.west-a=west", "zones.west-b=west",
		"listen.front=" + h.front, "listen.ready=" + h.ready, fmt.Sprintf("listen.control=%s:%d", h.ip, control),
		fmt.Sprintf("portRange=%d,%d", r.ports[2], r.ports[2]+15),
		fmt.Sprintf("seeds=%s.11:%d", r.net, control), "bootstrap=true",
		"limits.cpuShare=0.32", "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", memoryMB), "limits.maxFds=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1500",
		"bounds.contactMs=3000", "bounds.drainMs=2000", fmt.Sprintf("bounds.graceS=%d", graceS), "bounds.lossSlackMs=200",
		"bounds.configApplyMs=2000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retryBudgetExtra=58",
		"bounds.probesPerS=60", "bounds.recoveryS=15",
		"platform.address=" + r.store.address, "platform.form=table", "platform.historyS=20", "platform.rowBytes=65536", "",
	}, "\n")
}

// startHost starts host number n, from 1, in a zone and waits until it is ready.
func (r *run) startHost(n int, zone string) (*entryHost, error) {
	ip := fmt.Sprintf("%s.%d", r.net, 10+n)
	h := &entryHost{
		name: fmt.Sprintf("front-%s-%d", zone, n), ip: ip, front: fmt.Sprintf("%s:%d", ip, r.ports[0]),
		ready: fmt.Sprintf("%s:%d", ip, r.ports[1]), exited: make(chan struct{}),
	}
	path := filepath.Join(r.dir, h.name+".conf")
	if err := os.WriteFile(path, []byte(r.settings(h, zone)), 0o600); err != nil {
		return nil, err
	}
	var err error
	if h.log, err = os.OpenFile(filepath.Join(r.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return nil, err
	}
	h.process = exec.Command(r.program, "serve", "--metrics-port", "9464")
	h.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HAWTHORNTURN_NODE_FILE=" + path}
	h.process.Stdout, h.process.Stderr = h.log, h.log
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this process is killed
	if err := h.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.process.Wait()
		close(h.exited)
	}()
	r.mu.Lock()
	r.hosts = append(r.hosts, h)
	r.mu.Unlock()
	for range 100 {
		if h.isReady() {
			return h, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("%s is not ready", h.name)
}

// isReady asks a host as the platform's balancer does.
func (h *entryHost) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (h *entryHost) signal(s syscall.Signal) { _ = h.process.Process.Signal(s) }

// running reports whether the process has not ended.
func (h *entryHost) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// end ends all processes.
func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.hosts {
		_ = h.process.Process.Kill()
		<-h.exited
	}
	_ = os.RemoveAll(r.dir)
}
