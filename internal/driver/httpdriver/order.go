package httpdriver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fescuestand/internal/driver"
	"fescuestand/internal/driver/httpdriver/httpapi"
	"fescuestand/internal/stall"
)

// orderTimeout bounds the lifetime of an order's connection, including TCP retransmissions. A
// process that takes over an engine that ignores fencing tokens relies on this bound when it waits
// for orders of the previous lease holder to expire.
const orderTimeout = time.Second

// sendOrder sends one order over a new connection.
//
// It prevents an order from taking effect after its sender has lost the lease, at an engine that
// does not check fencing tokens: the sender is paused, or the network delays its packets, while
// another process takes over, and the old order then overrides the new holder's.
//
// An engine executes only complete orders. sendOrder therefore sends all bytes but the last one,
// calls permit, which checks the lease, and only then sends the last byte. If the process is paused
// before that check, the order is never completed. After it, TCP_USER_TIMEOUT and SO_LINGER 0 bound
// how long the kernel may try to deliver the last byte.
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
	const maxBytes = maxHeaderBytes + maxFailureBytes // http.ReadResponse has no bound of its own
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(conn, maxBytes)), nil)
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
	conn, err := stall.DialContext(ctx, &d, c.opts.dialTimeout, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	// With linger 0, Close resets the connection and discards unsent bytes.
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
