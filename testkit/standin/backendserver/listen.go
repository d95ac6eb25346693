package backendserver

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// listen listens on an address. Its connections have a receive buffer of the given size, in
// bytes; zero for the system's.
func listen(address string, receiveBuffer int) (net.Listener, error) {
	var config net.ListenConfig
	if receiveBuffer > 0 {
		// Connections inherit the buffer of the listener.
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
			return errors.Join(err, failure)
		}
	}
	return config.Listen(context.Background(), "tcp", address)
}
