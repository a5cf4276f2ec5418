package operator

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"fescuestand/internal/code"
	"fescuestand/internal/driver"
	"fescuestand/internal/kernel"
	"fescuestand/internal/logclient"
	"fescuestand/internal/node"
	"fescuestand/internal/replica"
	"fescuestand/internal/sheet"
	"fescuestand/internal/wire"
)

type checkCommand struct {
	command
	Args struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	body, err := os.ReadFile(c.Args.File)
	if err != nil {
		return &exitError{kernel.ExitUsage, err}
	}
	if _, err := sheet.Parse(c.Args.File, body); err != nil {
		return &exitError{kernel.ExitUsage, err}
	}
	_, err = fmt.Fprintln(c.out, c.Args.File, "is valid")
	return err
}

type publishCommand struct {
	command
	Base  uint64        `long:"base" value-name:"VERSION" description:"version that this publish replaces; default: the one accepted now"`
	First bool          `long:"first" description:"expect that there is no sheet yet (base 0)"`
	Patch bool          `long:"patch" description:"FILE is a merge patch on the base and not a whole sheet"`
	Wait  time.Duration `long:"wait" default:"30s" description:"longest wait for the verdict, and again until it is in force everywhere"`
	Args  struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	s, err := c.settings()
	if err != nil {
		return err
	}
	body, err := c.readBody()
	if err != nil {
		return &exitError{kernel.ExitUsage, err}
	}
	lg, list, err := s.platform()
	if err != nil {
		return err
	}
	client := newClient(lg)
	defer func() { _ = client.Close() }()
	version, err := c.publish(client, s, body)
	if err != nil {
		return err
	}
	return c.awaitInForce(list, version)
}

func (c *publishCommand) readBody() ([]byte, error) {
	body, err := os.ReadFile(c.Args.File)
	if err != nil || c.Patch {
		return body, err
	}
	_, err = sheet.Parse(c.Args.File, body)
	return body, err
}

// publish appends the sheet or patch to the config stream and waits for the verdict on it. It returns
// the accepted version.
func (c *publishCommand) publish(client *logclient.Client, s *Settings, body []byte) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.Wait)
	defer cancel()
	base, err := c.baseVersion(ctx, client, s.Streams.Config)
	if err != nil {
		return 0, err
	}
	id := node.NewIncarnation()
	verdict, err := replica.Publish(ctx, client, s.Streams.Config, id, c.logEntry(base, id, s.Operator, body))
	if err != nil {
		return 0, c.undecidedError(err, base)
	}
	if !verdict.Accepted {
		return 0, &exitError{ExitRefused, code.New(code.Code(verdict.Code), "refused at offset %d: %s", verdict.Offset, verdict.Detail)}
	}
	_, err = fmt.Fprintf(c.out, "accepted version=%d base=%d publish=%s\n", verdict.Offset, base, id)
	return verdict.Offset, err
}

// undecidedError returns the error for a publish without a verdict. If err proves that the publish
// did not run, it is returned as it is; otherwise the publish may still be accepted.
func (c *publishCommand) undecidedError(err error, base uint64) error {
	if code.Of(err).Run == code.NotRun {
		return err
	}
	return &exitError{ExitUnknown, fmt.Errorf("%w\nno verdict within %s; it can count only while %d is the accepted version: compare SHEET in `fescuectl status`", err, c.Wait, base)}
}

// baseVersion returns the version that the publish replaces, by default the accepted one.
func (c *publishCommand) baseVersion(ctx context.Context, client *logclient.Client, stream string) (uint64, error) {
	if c.First || c.Base > 0 {
		return c.Base, nil
	}
	accepted, _, err := replica.ReadAccepted(ctx, client, stream)
	return accepted.Version, err
}

// logEntry returns the entry to append to the config stream.
func (c *publishCommand) logEntry(base uint64, id, operator string, body []byte) *wire.Entry {
	if c.Patch {
		return &wire.Entry{Kind: &wire.Entry_Patch{Patch: &wire.Patch{Base: base, Body: body, Operator: operator, PublishId: id}}}
	}
	return &wire.Entry{Kind: &wire.Entry_Sheet{Sheet: &wire.Sheet{Base: base, Body: body, Operator: operator, PublishId: id}}}
}

// inForcePollInterval is the time between two polls of the VMs' status.
const inForcePollInterval = 100 * time.Millisecond

// awaitInForce polls the VMs until every live VM of the list reports the version or a later one.
func (c *publishCommand) awaitInForce(list driver.VMList, version uint64) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Wait)
	defer cancel()
	start := time.Now()
	var notInForce []string
	for {
		f, err := ReadStatus(ctx, list)
		if err == nil {
			notInForce = vmsNotInForce(f, version)
		} else if ctx.Err() == nil {
			notInForce = []string{err.Error()}
		}
		if err == nil && len(notInForce) == 0 {
			_, err = fmt.Fprintf(c.out, "in force on %d VMs after %d ms\n", len(f.VMs), time.Since(start).Milliseconds())
			return err
		}
		select {
		case <-ctx.Done():
			return &exitError{ExitUnknown, code.New(code.NotInForce, "version %d is accepted; after %s not yet in force on: %s",
				version, c.Wait, strings.Join(notInForce, ", "))}
		case <-time.After(inForcePollInterval):
		}
	}
}

// vmsNotInForce names the VMs that have not reported the version or a later one. Leaving VMs take
// no work and are left out.
func vmsNotInForce(f *FleetStatus, version uint64) []string {
	if len(f.VMs) == 0 {
		return []string{"any VM: the VM list is empty"}
	}
	var names []string
	for _, v := range f.VMs {
		switch {
		case v.VM.Leaving:
		case v.Report == nil:
			names = append(names, v.VM.Name+" (no answer)")
		case v.Report.SheetVersion < version:
			names = append(names, fmt.Sprintf("%s (at %d)", v.VM.Name, v.Report.SheetVersion))
		}
	}
	return names
}
