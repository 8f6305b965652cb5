package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"

	"chicoryline/internal/catalog"
	"chicoryline/internal/configsync"
	"chicoryline/internal/errkind"
	"chicoryline/internal/peer"
	"chicoryline/internal/pool"
	"chicoryline/internal/proxy"
	"chicoryline/internal/services"
	"chicoryline/internal/timeline"
)

// operatorTimeout bounds one operator command.
const operatorTimeout = 30 * time.Second

// platformFlags are the flags that locate the platform.
type platformFlags struct {
	Platform string `long:"platform" value-name:"URL" description:"base address of the platform, http://IP:port; several separated by commas"`
	Settings string `long:"settings" short:"s" value-name:"FILE" description:"settings file with the platform's address"`
}

// connect returns a client of the platform.
func (f *platformFlags) connect() (*services.Client, error) {
	urls := strings.Split(f.Platform, ",")
	if f.Platform == "" {
		if f.Settings == "" {
			return nil, errors.New("--platform or --settings is required")
		}
		s, err := readSettings(f.Settings)
		if err != nil {
			return nil, err
		}
		urls = s.PlatformURLs
	}
	return services.NewClient(urls, services.VM{ID: "operator"})
}

// withPlatform connects to the platform and calls do with the client and a deadline.
func (f *platformFlags) withPlatform(do func(ctx context.Context, services *services.Client) error) error {
	services, err := f.connect()
	if err != nil {
		return err
	}
	defer services.Close()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	return do(ctx, services)
}

// patchCommand submits a patch.
type patchCommand struct {
	platformFlags
	Base uint64 `long:"base" required:"true" value-name:"N" description:"version that the patch is based on"`
	ID   string `long:"id" value-name:"ID" description:"id of the patch; submitting the same id again does not apply it twice"`
	Ask  bool   `long:"ask" description:"print the state of the patch with the id instead of submitting"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *patchCommand) Execute([]string) error {
	return c.withPlatform(func(ctx context.Context, services *services.Client) error {
		if c.Ask {
			result, err := configsync.PatchStatus(ctx, services, c.ID)
			return printResult(result, err)
		}
		data, err := os.ReadFile(c.Args.File)
		if err != nil {
			return errors.Annotate(err, "patch")
		}
		if c.ID == "" {
			c.ID = newID()
		}
		result, err := configsync.Submit(ctx, services, c.Base, data, c.ID)
		return printResult(result, err)
	})
}

func printResult(result configsync.Result, err error) error {
	fmt.Printf("state=%s version=%d patch=%s reason=%q\n", result.State, result.Version, result.PatchID, result.Reason)
	return err
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// configCommand shows or checks the configuration, or releases a failure domain.
type configCommand struct {
	Show    configShowCommand    `command:"show" description:"print the configuration in force"`
	History configHistoryCommand `command:"history" description:"print the versions"`
	Release configReleaseCommand `command:"release" description:"stop waiting for a failure domain that is known to be down"`
	Check   configCheckCommand   `command:"check" description:"check a configuration of the users' platform before it is sent"`
}

type configShowCommand struct{ platformFlags }

// Execute implements flags.Commander.
func (c *configShowCommand) Execute([]string) error {
	return c.withPlatform(func(ctx context.Context, services *services.Client) error {
		doc, err := configsync.CurrentDocument(ctx, services)
		if err != nil {
			return err
		}
		fmt.Printf("; version = %d\n%s", doc.Version, catalog.Encode(doc))
		return nil
	})
}

type configHistoryCommand struct{ platformFlags }

// Execute implements flags.Commander.
func (c *configHistoryCommand) Execute([]string) error {
	return c.withPlatform(func(ctx context.Context, services *services.Client) error {
		entries, err := configsync.History(ctx, services)
		if err != nil {
			return err
		}
		for _, e := range entries {
			fmt.Printf("patch=%s state=%s version=%d object=%s reason=%q\n", e.Patch, e.State, e.Version, e.Object, e.Reason)
		}
		return nil
	})
}

type configReleaseCommand struct {
	platformFlags
	Args struct {
		Domain string `positional-arg-name:"DOMAIN" required:"true"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *configReleaseCommand) Execute([]string) error {
	return c.withPlatform(func(ctx context.Context, services *services.Client) error {
		released, err := configsync.Release(ctx, services, c.Args.Domain)
		fmt.Printf("released=%s\n", strings.Join(released, ","))
		return err
	})
}

// keyCommand creates and withdraws customers' keys.
type keyCommand struct {
	New      keyNewCommand      `command:"new" description:"create a key and print it with the patch line that grants it"`
	Withdraw keyWithdrawCommand `command:"withdraw" description:"withdraw a key with a patch on the version in force"`
}

type keyNewCommand struct {
	Customer string `long:"customer" required:"true" description:"name of the customer"`
	Name     string `long:"name" default:"main" description:"name of the key"`
}

// Execute implements flags.Commander.
func (c *keyNewCommand) Execute([]string) error {
	key, hash, err := catalog.NewKey(rand.Reader)
	if err != nil {
		return err
	}
	fmt.Printf("; key, shown only here: %s\n[customer %s]\nkey.%s = %s\n", key, c.Customer, c.Name, hash)
	return nil
}

type keyWithdrawCommand struct {
	platformFlags
	Customer string `long:"customer" required:"true" description:"name of the customer"`
	Name     string `long:"name" default:"main" description:"name of the key"`
}

// Execute implements flags.Commander.
func (c *keyWithdrawCommand) Execute([]string) error {
	return c.withPlatform(func(ctx context.Context, services *services.Client) error {
		doc, err := configsync.CurrentDocument(ctx, services)
		if err != nil {
			return err
		}
		patch := fmt.Sprintf("[customer %s]\nkey.%s = withdrawn\n", c.Customer, c.Name)
		result, err := configsync.Submit(ctx, services, doc.Version, []byte(patch), newID())
		return printResult(result, err)
	})
}

// fleetFlags are the flags that locate the processes of the fleet.
type fleetFlags struct {
	platformFlags
	Peers string `long:"peers" value-name:"LIST" description:"addresses of processes, IP:port separated by commas; default: the platform's list"`
}

// addresses returns the addresses of the processes to call.
func (f *fleetFlags) addresses(ctx context.Context) ([]string, error) {
	if f.Peers != "" {
		return strings.Split(f.Peers, ","), nil
	}
	services, err := f.connect()
	if err != nil {
		return nil, err
	}
	vms, err := services.VMs(ctx)
	if err != nil {
		return nil, err
	}
	var list []string
	for _, vm := range vms {
		list = append(list, vm.Address)
	}
	return list, nil
}

// client returns a client for the processes, with TLS if the settings file has
// certificates.
func (f *fleetFlags) client() (*peer.Client, error) {
	clock := timeline.NewClock(time.Now)
	if f.Settings == "" {
		return peer.NewClient(clock, nil, nil), nil
	}
	s, err := readSettings(f.Settings)
	if err != nil {
		return nil, err
	}
	config, err := proxy.ClientTLS(s)
	return peer.NewClient(clock, nil, config), err
}

// statusCommand prints the state of every process.
type statusCommand struct {
	fleetFlags
	Metrics bool `long:"metrics" description:"print the metrics of each process as well"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	return c.callEach(func(ctx context.Context, client *peer.Client, address string) error {
		var reply proxy.StatusReply
		if err := client.Call(ctx, address, "Proxy.Status", &pool.Empty{}, &reply); err != nil {
			return err
		}
		fmt.Println(reply.Line())
		if c.Metrics {
			for _, line := range reply.Measures {
				fmt.Printf("vm=%s %s\n", reply.VM, line)
			}
		}
		return nil
	})
}

// callEach calls every process. A failed call is reported on stderr and skipped.
func (f *fleetFlags) callEach(callOne func(context.Context, *peer.Client, string) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	client, err := f.client()
	if err != nil {
		return err
	}
	defer client.Close()
	addresses, err := f.addresses(ctx)
	if err != nil {
		return err
	}
	for _, address := range addresses {
		callCtx, cancelCall := context.WithTimeout(ctx, processTimeout)
		if err := callOne(callCtx, client, address); err != nil {
			fmt.Fprintf(os.Stderr, "address=%s error=%q\n", address, err)
		}
		cancelCall()
	}
	return nil
}

// processTimeout bounds the call to one process.
const processTimeout = 3 * time.Second

// handoverCommand makes another backend server the primary of a group.
type handoverCommand struct {
	fleetFlags
	Group  string `long:"group" required:"true" description:"database group"`
	Target string `long:"target" required:"true" description:"backend server that becomes the primary"`
}

// Execute calls one process after the other until one has performed the switchover. Processes
// that do not watch the group answer errkind.NotEligible and are skipped.
func (c *handoverCommand) Execute([]string) error {
	handedOver := false
	err := c.callEach(func(ctx context.Context, client *peer.Client, address string) error {
		if handedOver {
			return nil
		}
		err := client.Call(ctx, address, "Proxy.Handover", &proxy.HandoverArgs{Group: c.Group, Target: c.Target}, &pool.Empty{})
		if errkind.Is(err, errkind.NotEligible) {
			return nil
		}
		handedOver = err == nil
		return err
	})
	if err == nil && !handedOver {
		err = errors.Errorf("no process has switched the primary of group %s", c.Group)
	}
	if err == nil {
		fmt.Printf("group=%s primary=%s\n", c.Group, c.Target)
	}
	return err
}

// timelineCommand collects and merges the events of all processes.
type timelineCommand struct {
	fleetFlags
	Group    string `long:"group" description:"only events of the database group"`
	Customer string `long:"customer" description:"only events of the customer"`
	Request  string `long:"request" description:"only events of the request or patch"`
	HTML     string `long:"html" value-name:"FILE" description:"write a self-contained page instead of text"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	var lists [][]timeline.Event
	filter := timeline.Filter{Group: c.Group, Customer: c.Customer, Request: c.Request}
	err := c.callEach(func(ctx context.Context, client *peer.Client, address string) error {
		var reply timeline.EventsReply
		if err := client.Call(ctx, address, "Timeline.Events", &timeline.EventsArgs{Filter: filter}, &reply); err != nil {
			return err
		}
		if reply.Lost > 0 {
			fmt.Fprintf(os.Stderr, "address=%s events_lost=%d\n", address, reply.Lost)
		}
		lists = append(lists, reply.Events)
		return nil
	})
	if err != nil {
		return err
	}
	events := timeline.Merge(lists...)
	if c.HTML == "" {
		return timeline.WriteText(os.Stdout, events)
	}
	file, err := os.Create(c.HTML)
	if err != nil {
		return errors.Annotate(err, "page")
	}
	defer func() { _ = file.Close() }()
	return timeline.WriteHTML(file, events)
}
