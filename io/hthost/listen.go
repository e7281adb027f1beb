package hthost

import (
	"crypto/tls"
	"fmt"
	"net"

	"hawthornturn/io/htclient"
	"hawthornturn/io/htpeer"
)

// listen opens the listeners for peers, callers and operators.
func (h *Host) listen(peerTLS *tls.Config) error {
	var err error
	if h.peerServer, err = htpeer.Listen(h.settings.Listen.Peers.String(), peerTLS, maxPeerConns(h.settings.Limits)); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if h.operatorListener, err = htclient.Listen("tcp", h.settings.Listen.Operators.String()); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	if h.callerListener, err = h.listenCallers(); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

// listenCallers opens the listener for callers and loads the certificate that the settings name, if
// they name one.
func (h *Host) listenCallers() (net.Listener, error) {
	if files := h.settings.CallerTLS; files != nil {
		certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return nil, err
		}
		h.callerTLS = &tls.Config{
			Certificates: []tls.Certificate{certificate},
			NextProtos:   []string{"h2", "http/1.1"},
			MinVersion:   tls.VersionTLS12,
		}
	}
	return htclient.Listen("tcp", h.settings.Listen.Callers.String())
}

// limitCallers returns the listener for callers with the bounds of its connections.
func (h *Host) limitCallers() net.Listener {
	if h.callerTLS == nil {
		return h.callers.Limit(h.callerListener, h.callerServer)
	}
	return h.callers.LimitTLS(h.callerListener, h.callerServer, h.callerTLS)
}

func (h *Host) closeListeners() {
	if h.peerServer != nil {
		_ = h.peerServer.Close()
	}
	if h.operatorListener != nil {
		_ = h.operatorListener.Close()
	}
	if h.callerListener != nil {
		_ = h.callerListener.Close()
	}
}
