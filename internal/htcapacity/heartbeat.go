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
	heartbeatDuration = 6 * time.Second
	heartbeatInterval = 500 * time.Millisecond // the default of htview.Config
	// datagramHeaderBytes is the size of the IPv4 and UDP headers.
	datagramHeaderBytes = 28
)

// measureHeartbeat measures the bytes on the wire, the datagrams and the CPU time per
// second of one sender's heartbeats to a number of members, including responses,
// acknowledgements and QUIC keep-alives. Each member is a peer listener behind a relay
// that counts datagrams. The CPU time covers sender, relays and members in one process,
// so it is an upper bound of one host's cost as a sender plus its cost as a receiver.
func measureHeartbeat(ctx context.Context, log func(string, ...any)) (Series, error) {
	s := Series{X: "other members", Units: []string{"bytes-per-s", "datagrams-per-s", "cpu-us-per-s"}}
	for _, n := range []int{4, 8, 16, 32, 64} {
		p, err := heartbeatAtSize(ctx, n)
		if err != nil {
			return s, err
		}
		log("heartbeats to %d members: %v", n, p.Values)
		s.Points = append(s.Points, p)
	}
	return s, nil
}

func heartbeatAtSize(ctx context.Context, n int) (Point, error) {
	dir, err := os.MkdirTemp("", "htcapacity-")
	if err != nil {
		return Point{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	files, err := issueCertificate(dir)
	if err != nil {
		return Point{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var counted datagramCounter
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
	round := func() { sendHeartbeats(ctx, client, targets, failed) }
	for range 4 { // opens the connections
		round()
		time.Sleep(heartbeatInterval)
	}
	failed.Store(0)
	bytes, packets, cpu, start := counted.bytes.Load(), counted.packets.Load(), cpuTime(), time.Now()
	for time.Since(start) < heartbeatDuration {
		round()
		time.Sleep(time.Until(start.Add(time.Since(start).Truncate(heartbeatInterval) + heartbeatInterval)))
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

func issueCertificate(dir string) (htpeer.TLSFiles, error) {
	authority, err := htlab.NewAuthority(dir)
	if err != nil {
		return htpeer.TLSFiles{}, err
	}
	files, err := authority.Issue("entry-0000")
	return htpeer.TLSFiles(files), err
}

func sendHeartbeats(ctx context.Context, client *htpeer.Client, targets []htview.Member, failed *atomic.Int64) {
	hb := htview.Heartbeat{From: makeMember(0), View: 10000, TableAge: time.Second, Gossip: htview.Gossip{AppliedRevision: 100000}}
	var wait sync.WaitGroup
	for _, to := range targets {
		wait.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, 2*heartbeatInterval)
			defer cancel()
			if _, err := client.Heartbeat(callCtx, to, hb); err != nil {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
}

// heartbeatResponder is a member that answers heartbeats and supports no other request.
type heartbeatResponder struct{ self htview.Member }

func (a heartbeatResponder) HandleHeartbeat(htview.Heartbeat) htview.HeartbeatReply {
	return htview.HeartbeatReply{From: a.self, View: 10000, SettledView: 10000, TableAge: time.Second, Gossip: htview.Gossip{AppliedRevision: 100000}}
}

func (heartbeatResponder) HandleRenew(context.Context, htview.Lease) error {
	return errors.ErrUnsupported
}

func (heartbeatResponder) HandleRelease(htview.Release) error { return errors.ErrUnsupported }

// startMember starts a peer listener and a relay in front of it. Both run until ctx ends.
func startMember(ctx context.Context, files htpeer.TLSFiles, i int, counted *datagramCounter) (htview.Member, error) {
	config, err := files.Load()
	if err != nil {
		return htview.Member{}, err
	}
	server, err := htpeer.Listen("127.0.0.1:0", config, 0)
	if err != nil {
		return htview.Member{}, err
	}
	member := makeMember(i + 1)
	server.HandleMembers(heartbeatResponder{member})
	go func() { _ = server.Serve(ctx) }()
	member.Address, err = relayUDP(ctx, server.Addr(), counted)
	return member, err
}

// datagramCounter counts the datagrams that a UDP relay forwards and their bytes,
// including the IPv4 and UDP headers.
type datagramCounter struct {
	bytes   atomic.Int64
	packets atomic.Int64
}

func (d *datagramCounter) count(n int) {
	d.bytes.Add(int64(n + datagramHeaderBytes))
	d.packets.Add(1)
}

// relayUDP forwards datagrams between one client and target until ctx ends. It returns
// the address on which it listens.
func relayUDP(ctx context.Context, target string, counted *datagramCounter) (string, error) {
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
