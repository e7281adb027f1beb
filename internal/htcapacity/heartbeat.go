package htcapacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hawthornturn/core/htview"
	"hawthornturn/internal/htlab"
	"hawthornturn/io/htpeer"
)

const (
	heartbeatTime  = 6 * time.Second
	heartbeatEvery = 500 * time.Millisecond // the default of htview.Config
	// datagramHeader is the size of the IPv4 and UDP headers.
	datagramHeader = 28
)

// heartbeat measures the bytes on the wire and the CPU time of one sender's
// heartbeats to a number of members, with answers, acknowledgements and QUIC
// keep-alives. Each member is a peer listener behind a relay that counts datagrams.
// CPU time covers sender, relays and members in one process, so it is an upper bound
// of one host's share as a sender plus one as a receiver.
func heartbeat(ctx context.Context, log func(string, ...any)) (Series, error) {
	s := Series{X: "other members", Units: []string{"bytes-per-s", "datagrams-per-s", "cpu-us-per-s"}}
	for _, n := range []int{4, 8, 16, 32, 64} {
		p, err := heartbeatPoint(ctx, n)
		if err != nil {
			return s, err
		}
		log("heartbeats to %d members: %v", n, p.Values)
		s.Points = append(s.Points, p)
	}
	return s, nil
}

func heartbeatPoint(ctx context.Context, n int) (Point, error) {
	dir, err := os.MkdirTemp("", "htcapacity-")
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	files, err := issue(dir)
	if err != nil {
		return Point{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var counted datagrams
	var targets []htview.Member
	for i := range n {
		target, err := startMember(ctx, files, i, &counted)
		if err != nil {
			return Point{}, err
		}
		targets = append(targets, target)
	}
	config, err := files.Load()
	if err != nil {
		return Point{}, err
	}
	client := htpeer.NewClient(config)
	defer client.Close()
	failed := &atomic.Int64{}
	round := func() { sendRound(ctx, client, targets, failed) }
	for range 4 { // opens the connections
		round()
		time.Sleep(heartbeatEvery)
	}
	failed.Store(0)
	bytes, packets, cpu, start := counted.bytes.Load(), counted.packets.Load(), cpuTime(), time.Now()
	for time.Since(start) < heartbeatTime {
		round()
		time.Sleep(time.Until(start.Add(time.Since(start).Truncate(heartbeatEvery) + heartbeatEvery)))
	}
	seconds := time.Since(start).Seconds()
	used := cpuTime() - cpu
	if failed.Load() > 0 {
		return Point{}, fmt.Errorf("%d heartbeats to %d members failed", failed.Load(), n)
	}
	return Point{float64(n), []float64{
		float64(counted.bytes.Load()-bytes) / seconds,
		float64(counted.packets.Load()-packets) / seconds,
		float64(used.Microseconds()) / seconds,
	}}, nil
}

func issue(dir string) (htpeer.TLSFiles, error) {
	authority, err := htlab.NewAuthority(dir)
	if err != nil {
		return htpeer.TLSFiles{}, err
	}
	files, err := authority.Issue("entry-0000")
	return htpeer.TLSFiles(files), err
}

func sendRound(ctx context.Context, client *htpeer.Client, targets []htview.Member, failed *atomic.Int64) {
	hb := htview.Heartbeat{From: memberOf(0), View: 10000, TableAge: time.Second, Gossip: htview.Gossip{AppliedRevision: 100000}}
	var wait sync.WaitGroup
	for _, to := range targets {
		wait.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, 2*heartbeatEvery)
			defer cancel()
			if _, err := client.Heartbeat(callCtx, to, hb); err != nil {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
}

// answering is a member that answers heartbeats and nothing else.
type answering struct{ self htview.Member }

func (a answering) HandleHeartbeat(htview.Heartbeat) htview.HeartbeatReply {
	return htview.HeartbeatReply{From: a.self, View: 10000, SettledView: 10000, TableAge: time.Second, Gossip: htview.Gossip{AppliedRevision: 100000}}
}

func (answering) HandleRenew(context.Context, htview.Lease) error { return errors.ErrUnsupported }

func (answering) HandleRelease(htview.Release) error { return errors.ErrUnsupported }

// startMember starts a peer listener and a relay in front of it until ctx ends.
func startMember(ctx context.Context, files htpeer.TLSFiles, i int, counted *datagrams) (htview.Member, error) {
	config, err := files.Load()
	if err != nil {
		return htview.Member{}, err
	}
	server, err := htpeer.Listen("127.0.0.1:0", config)
	if err != nil {
		return htview.Member{}, err
	}
	member := memberOf(i + 1)
	server.HandleMembers(answering{member})
	go func() { _ = server.Serve(ctx) }()
	member.Address, err = relayUDP(ctx, server.Addr(), counted)
	return member, err
}

// datagrams counts what a UDP relay passes on.
type datagrams struct {
	bytes   atomic.Int64
	packets atomic.Int64
}

func (d *datagrams) count(n int) {
	d.bytes.Add(int64(n + datagramHeader))
	d.packets.Add(1)
}

// relayUDP passes the datagrams of one client on to target and back, until ctx
// ends. It returns the address that it listens on.
func relayUDP(ctx context.Context, target string, counted *datagrams) (string, error) {
	front, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	back, err := net.Dial("udp", target)
	if err != nil {
		_ = front.Close()
		return "", err
	}
	context.AfterFunc(ctx, func() { _, _ = front.Close(), back.Close() })
	var client atomic.Pointer[net.Addr]
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, from, err := front.ReadFrom(buffer)
			if err != nil {
				return
			}
			client.Store(&from)
			counted.count(n)
			_, _ = back.Write(buffer[:n])
		}
	}()
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, err := back.Read(buffer)
			if err != nil {
				return
			}
			counted.count(n)
			if to := client.Load(); to != nil {
				_, _ = front.WriteTo(buffer[:n], *to)
			}
		}
	}()
	return front.LocalAddr().String(), nil
}
