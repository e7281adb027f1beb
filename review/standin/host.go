package main

import (
	"bufio"
	"fmt"
	"io"
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

// bed holds the stand-ins and the processes of one run.
type bed struct {
	dir     string
	subnet  string // the first three bytes of all addresses, in 127.0.0.0/8
	next    int
	start   time.Time
	mu      sync.Mutex
	records *bufio.Writer
	file    *os.File
	hosts   []*host
	store   *store
}

func newBed(recordPath string) *bed {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	file, err := os.Create(recordPath)
	check(err)
	b := &bed{dir: dir, start: time.Now(), file: file, records: bufio.NewWriter(file)}
	b.subnet = fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, (os.Getpid()/128)%256)
	b.store = newStore(b.listen(8642))
	return b
}

// listen opens a listener at an address of its own; port 0 is any free port.
func (b *bed) listen(port int) net.Listener {
	for range 50 {
		b.next++
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", b.subnet, 1+b.next%250, port))
		if err == nil {
			return l
		}
	}
	panic("no free address")
}

func (b *bed) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.records, "%8.3f  "+format+"\n", append([]any{time.Since(b.start).Seconds()}, args...)...)
}

// close ends all processes of the run.
func (b *bed) close() {
	for _, h := range b.hosts {
		h.kill()
	}
	b.mu.Lock()
	_ = b.records.Flush()
	_ = b.file.Close()
	b.mu.Unlock()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs:", b.dir)
	}
}

// host is one process of the deploy file's run command.
type host struct {
	bed               *bed
	name, ip, zone    string
	settings          string
	front, ready      string
	mu                sync.Mutex
	command           *exec.Cmd
	exited            chan struct{}
	endedUnexpectedly bool
	stopping          bool
}

// run command of deploy/system.toml
const runCommand = "target/hawthornturn-entry serve --metrics-port 9464"

// addHosts adds hosts with settings like those of a small deployment.
func (b *bed) addHosts(n int, zones []string, change func(i int, lines map[string]string)) {
	first := len(b.hosts)
	for i := range n {
		b.next++
		ip := fmt.Sprintf("%s.%d", b.subnet, 1+b.next%250)
		h := &host{bed: b, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], first+i+1), ip: ip, zone: zones[i%len(zones)]}
		h.front, h.ready = ip+":8641", ip+":8640"
		h.settings = filepath.Join(b.dir, h.name+".conf")
		b.hosts = append(b.hosts, h)
	}
	seeds := []string{}
	for _, h := range b.hosts[:min(3, len(b.hosts))] {
		seeds = append(seeds, h.ip+":8649")
	}
	for i, h := range b.hosts[first:] {
		lines := map[string]string{
			"nodeName": h.name, "role": "entry", "machineClass": "front", "serves": "front,control", "ip": h.ip,
			"zone": h.zone, "region": "r", "listen.front": h.front, "listen.ready": h.ready, "listen.control": h.ip + ":8649",
			"portRange": "7620,7635", "seeds": strings.Join(seeds, ","), "bootstrap": "true", "inFailureBudget": "false",
			"limits.cpuShare": "0.32", "limits.cores": "1", "limits.memoryMb": "284", "limits.maxFds": "4100",
			"limits.linkMbps": "1000.0", "limits.diskMb": "0", "discovery": "platform", "entry": "vip", "heartbeatMs": "1500",
			"contracts":               "base,drain,config,cost,retry,recover,health,places,platform",
			"faultTolerance.machines": "1", "faultTolerance.zones": "1", "faultTolerance.regions": "0",
			"bounds.seedLagS": "3", "bounds.reuseAfterS": "2", "bounds.contactMs": "3000", "bounds.ackMs": "4000",
			"bounds.catchUpS": "4", "bounds.drainMs": "2000", "bounds.graceS": "6", "bounds.lossSlackMs": "200",
			"bounds.configApplyMs": "2000", "bounds.downgradeSlackMs": "250", "bounds.outerMs": "5000",
			"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.retryBudgetExtra": "58",
			"bounds.coldOvershoot": "1.5", "bounds.coldSlack": "5", "bounds.evacuateMs": "5000", "bounds.recoveryS": "15",
			"bounds.probesPerS": "60", "platform.address": b.store.address, "platform.form": "table",
			"platform.writesPerS": "400", "platform.readsPerS": "2000", "platform.txMs": "3.0", "platform.partitionWritesS": "300",
			"platform.rowBytes": "65536", "platform.across": "true", "platform.historyS": "20", "platform.blobBytes": "8388608",
			"platform.blobMs": "25.0", "platform.blobMbS": "80.0",
		}
		for _, z := range zones {
			lines["zones."+z] = "r"
		}
		if change != nil {
			change(first+i, lines)
		}
		text := ""
		for k, v := range lines {
			text += k + "=" + v + "\n"
		}
		check(os.WriteFile(h.settings, []byte(text), 0o600))
	}
}

func (h *host) start() {
	words := strings.Fields(runCommand)
	log, err := os.OpenFile(filepath.Join(h.bed.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command(words[0], words[1:]...)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "HAWTHORNTURN_NODE_FILE=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	check(h.command.Start())
	h.stopping = false
	command, exited := h.command, make(chan struct{})
	h.exited = exited
	h.bed.log("%s starts (pid %d)", h.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = log.Close()
		h.mu.Lock()
		if !h.stopping {
			h.endedUnexpectedly = true
			h.bed.log("%s ended by itself: %v", h.name, err)
		}
		h.mu.Unlock()
		close(exited)
	}()
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	if h.command == nil {
		h.mu.Unlock()
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.stopping = true
	}
	command := h.command
	h.mu.Unlock()
	_ = command.Process.Signal(s)
}

func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	if h.exited != nil {
		<-h.exited
	}
}

// waitReady waits until all hosts say that they are ready.
func (b *bed) waitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range b.hosts {
		for {
			r, err := client.Get("http://" + h.ready + "/v1/ready")
			if err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return true
}

// answer is what a client got.
type answer struct {
	status    int
	header    http.Header
	body      string
	err       error
	connected bool
}

// send sends one request over a connection of its own and reads the answer. Head is the
// request line and header as bytes without the last empty line.
func send(to, head, body string, limit time.Duration) answer {
	c, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		return answer{err: err, connected: true}
	}
	return readAnswer(bufio.NewReader(c), nil)
}

func readAnswer(in *bufio.Reader, r *http.Request) answer {
	response, err := http.ReadResponse(in, r)
	if err != nil {
		return answer{err: err, connected: true}
	}
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(data), err: err, connected: true}
}

// head returns the request line and header of a request.
func head(method, target, hostName, id string, deadlineMs, length int, more ...string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Hawthornturn-Request-Id: %s\r\nX-Hawthornturn-Deadline-Ms: %d\r\n", method, target, hostName, id, deadlineMs)
	if length > 0 || method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	for _, m := range more {
		text += m + "\r\n"
	}
	return text
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		os.Exit(2)
	}
}
