// Package httpdriver implements the HTTP/JSON protocol of package httpapi. It registers drivers
// named "http" for engines, plain services, the log service, the VM list and the weight store.
//
// Exact error reports have priority over speed. A driver returns driver.ErrNotSent only if no byte
// of the request has been sent and none can be sent any more, and it never retries a request on its
// own, as only its callers decide about retries.
package httpdriver

import (
	"fmt"
	"net"
	"time"

	"fescuestand/internal/driver"
	"fescuestand/internal/stall"
)

// Name is the name under which the drivers are registered.
const Name = "http"

// Options of a Target.
const (
	optClient      = "client"       // name of the VM, sent in the Client header
	optDialTimeout = "dial_timeout" // a duration, such as "500ms"
)

const defaultDialTimeout = time.Second

func init() { Register(Name, &net.Dialer{}) }

// Register registers the drivers under a name with a dialer for their connections. Orders to engines always use the
// machine's sockets, whose options they depend on.
func Register(name string, d stall.Dialer) {
	driver.Engines.Register(name, func(t driver.Target) (driver.Engine, error) {
		c, err := newClient(t, d)
		if err != nil {
			return nil, err
		}
		return &engine{client: c}, nil
	})
	driver.Services.Register(name, func(t driver.Target) (driver.Service, error) {
		c, err := newClient(t, d)
		if err != nil {
			return nil, err
		}
		return &service{client: c}, nil
	})
	driver.Logs.Register(name, func(t driver.Target) (driver.Log, error) {
		c, err := newClient(t, d)
		if err != nil {
			return nil, err
		}
		return &logService{client: c}, nil
	})
	driver.VMLists.Register(name, func(t driver.Target) (driver.VMList, error) {
		c, err := newClient(t, d)
		if err != nil {
			return nil, err
		}
		return &vmList{client: c}, nil
	})
	driver.WeightStores.Register(name, func(t driver.Target) (driver.WeightStore, error) {
		c, err := newClient(t, d)
		if err != nil {
			return nil, err
		}
		return &weightStore{client: c}, nil
	})
}

// options are the decoded options of a driver.Target.
type options struct {
	client      string
	dialTimeout time.Duration
}

func decodeOptions(t driver.Target) (options, error) {
	o := options{dialTimeout: defaultDialTimeout}
	for k, v := range t.Options {
		switch k {
		case optClient:
			o.client = v
		case optDialTimeout:
			d, err := time.ParseDuration(v)
			if err != nil || d <= 0 {
				return o, fmt.Errorf("option %s: %q is not a duration above 0, such as \"500ms\"", k, v)
			}
			o.dialTimeout = d
		default:
			return o, fmt.Errorf("unknown option %q; allowed: %s, %s", k, optClient, optDialTimeout)
		}
	}
	return o, nil
}
