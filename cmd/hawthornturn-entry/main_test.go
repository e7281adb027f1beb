package main

import (
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hawthornturn-entry": main})
}

// Guards against changes of the output or exit code of commands that operators rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata/script",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"hangup": hangup, "freeport": freePort},
	})
}

// hangup sends SIGHUP to the background processes of the script.
func hangup(ts *testscript.TestScript, _ bool, _ []string) {
	for _, command := range ts.BackgroundCmds() {
		ts.Check(command.Process.Signal(syscall.SIGHUP))
	}
}

// freePort replaces a text in a file by a port that is free for TCP and UDP on loopback
// addresses other than 127.0.0.1. Until the script ends it holds the port on 127.0.0.1, so that
// no other copy of the tests and no listener on all addresses gets the same one.
func freePort(ts *testscript.TestScript, _ bool, args []string) {
	const tries = 100
	for range tries {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		ts.Check(err)
		packets, err := net.ListenPacket("udp4", listener.Addr().String())
		if err != nil {
			ts.Check(listener.Close())
			continue
		}
		ts.Defer(func() { _, _ = listener.Close(), packets.Close() })
		port := listener.Addr().(*net.TCPAddr).Port
		text := strings.ReplaceAll(ts.ReadFile(args[1]), args[0], strconv.Itoa(port))
		ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
		return
	}
	ts.Fatalf("no port is free for TCP and UDP in %d tries", tries)
}
