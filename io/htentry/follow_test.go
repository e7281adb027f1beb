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

// Guards against a host that starts and takes too large a part of the bounds until the next
// beats of the others, which are seconds apart where hosts are many.
func TestStartedHostAsksAllOthers(t *testing.T) {
	const within = 2 * time.Second
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	own, err := htgossip.Listen(loopback)
	if err != nil {
		t.Fatal(err)
	}
	other, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close() })
	member := htgroup.Member{Name: "other", Address: other.LocalAddr().(*net.UDPAddr).AddrPort(), Domain: "a"}
	server := httptest.NewServer(htgossip.Handler(func(htmirror.Versions) htgossip.Rows {
		return htgossip.Rows{Members: []htgroup.Member{member}}
	}))
	t.Cleanup(server.Close)
	e, _ := catalogEntry(0)
	e.gossip, e.sync = own, htgossip.NewClient()

	e.fetch(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()))
	if err := other.SetReadDeadline(time.Now().Add(within)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, htgossip.MaxDatagram)
	n, err := other.Read(buffer)
	if err != nil {
		t.Fatalf("a host that is new to this one is not asked: %v", err)
	}
	d, err := htgossip.Decode(buffer[:n])
	if err != nil || len(d.Messages) != 1 || d.Messages[0].Status == nil || !d.Messages[0].Status.WantsReply {
		t.Errorf("a host that is new to this one hears %+v, error %v", d, err)
	}
}
