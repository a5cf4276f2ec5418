package httpdriver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
)

// orderTimeout bounds an order's connection, its retransmissions included. The
// wait of a successor at engines that ignore fencing tokens builds on it.
const orderTimeout = time.Second

// sendOrder sends one order over a connection of its own.
//
// It guards against an order that arrives after its sender has lost the
// authority, at an engine that does not check fencing tokens: the process is
// paused, or the network holds the bytes back, while a successor takes over;
// then the old order lands on top of the successor's. The engine acts only on
// a whole order. So everything but the last byte goes first, and the permit,
// which looks at the lease, is asked immediately before that byte. A pause up
// to there leaves an order that is never complete. After it TCP_USER_TIMEOUT
// and SO_LINGER 0 bound how long the kernel may try to deliver the byte.
func sendOrder(ctx context.Context, c *client, o driver.Order, permit driver.Permit) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	msg, err := orderMessage(c, o)
	if err != nil {
		return fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	conn, err := dialOrder(ctx, c)
	if err != nil {
		return fmt.Errorf("%w: %w", driver.ErrNotSent, err)
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	last := len(msg) - 1
	if _, err := conn.Write(msg[:last]); err != nil {
		return fmt.Errorf("%w: order is incomplete: %w", driver.ErrNotSent, err)
	}
	if err := permit(); err != nil {
		return fmt.Errorf("%w: permit: %w", driver.ErrNotSent, err)
	}
	if _, err := conn.Write(msg[last:]); err != nil {
		return fmt.Errorf("%w: %w", driver.ErrConnectionLost, err)
	}
	return readOrderAnswer(conn)
}

func readOrderAnswer(conn net.Conn) error {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return fmt.Errorf("%w: %w", driver.ErrConnectionLost, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusAccepted {
		return failure(resp)
	}
	return nil
}

func orderMessage(c *client, o driver.Order) ([]byte, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"+
		"Content-Length: %d\r\nConnection: close\r\n\r\n", httpapi.PathOrder, c.address, len(body))
	return append([]byte(head), body...), nil
}

func dialOrder(ctx context.Context, c *client) (net.Conn, error) {
	d := net.Dialer{
		Timeout:   c.opts.dialTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(orderTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return setErr
		},
	}
	conn, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	// Closing then resets the connection and drops unsent bytes.
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
