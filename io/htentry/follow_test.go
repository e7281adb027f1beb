package htentry

import (
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"hawthornturn/core/htgroup"
	"hawthornturn/core/htmirror"
	"hawthornturn/io/htgossip"
)

// Guards against a starting host that takes too large a share of the limits over all hosts
// until the next heartbeats of the others, which are seconds apart where hosts are many.
func TestStartedHostAsksAllOthers(t *testing.T) {
	const timeout = 2 * time.Second
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	conn, err := htgossip.Listen(loopback)
	if err != nil {
		t.Fatal(err)
	}
	otherHost, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = otherHost.Close() })
	member := htgroup.Member{Name: "other", Address: otherHost.LocalAddr().(*net.UDPAddr).AddrPort(), Domain: "a"}
	server := httptest.NewServer(htgossip.Handler(func(htmirror.Versions) htgossip.Rows {
		return htgossip.Rows{Members: []htgroup.Member{member}}
	}))
	t.Cleanup(server.Close)
	e, _ := newCatalogTestEntry(0)
	e.gossip, e.rowClient = conn, htgossip.NewClient()

	e.fetchRows(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()))
	if err := otherHost.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, htgossip.MaxDatagram)
	n, err := otherHost.Read(buffer)
	if err != nil {
		t.Fatalf("a newly learned host was not pinged: %v", err)
	}
	d, err := htgossip.Decode(buffer[:n])
	if err != nil || len(d.Messages) != 1 || d.Messages[0].Status == nil || !d.Messages[0].Status.WantsReply {
		t.Errorf("a newly learned host received %+v, error %v; want a heartbeat that asks for a reply", d, err)
	}
}
