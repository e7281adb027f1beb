package hthost

import (
	"crypto/tls"
	"fmt"
	"net"

	"hawthornturn/io/htpeer"
)

// listen opens the listeners for peers, callers and operators.
func (h *Host) listen(peerTLS *tls.Config) error {
	var err error
	if h.peerServer, err = htpeer.Listen(h.settings.Listen.Peers.String(), peerTLS); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if h.operatorListener, err = net.Listen("tcp", h.settings.Listen.Operators.String()); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	if h.callerListener, err = h.listenCallers(); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

// listenCallers opens the listener for callers, with TLS if the settings name a
// certificate.
func (h *Host) listenCallers() (net.Listener, error) {
	listener, err := net.Listen("tcp", h.settings.Listen.Callers.String())
	if err != nil || h.settings.CallerTLS == nil {
		return listener, err
	}
	certificate, err := tls.LoadX509KeyPair(h.settings.CallerTLS.Cert, h.settings.CallerTLS.Key)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, &tls.Config{
		Certificates: []tls.Certificate{certificate},
		NextProtos:   []string{"h2", "http/1.1"},
		MinVersion:   tls.VersionTLS12,
	}), nil
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
