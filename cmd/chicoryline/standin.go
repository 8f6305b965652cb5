package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"chicoryline/internal/services"
	"chicoryline/internal/standin/dbinstance"
	"chicoryline/internal/standin/platformd"
)

// standinCommand runs the stand-ins that replace the platform and the backend servers in
// tests.
type standinCommand struct {
	Platform standinPlatformCommand `command:"platform" description:"run the stand-in platform"`
	Instance standinInstanceCommand `command:"instance" description:"run one stand-in backend server"`
}

type standinPlatformCommand struct {
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Groups      string        `long:"groups" value-name:"FILE" description:"JSON file with the database groups"`
	ListLag     time.Duration `long:"list-lag" default:"1s" description:"time until a registration appears in the VM list"`
	ForgetAfter time.Duration `long:"forget-after" default:"10s" description:"time after its last registration at which a VM is removed from the list"`
}

// Execute implements flags.Commander.
func (c *standinPlatformCommand) Execute([]string) error {
	options := platformd.Options{ListLag: c.ListLag, ForgetAfter: c.ForgetAfter}
	if c.Groups != "" {
		data, err := os.ReadFile(c.Groups)
		if err != nil {
			return errors.Annotate(err, "groups")
		}
		var groups []services.Group
		if err := json.Unmarshal(data, &groups); err != nil {
			return errors.Annotate(err, "groups")
		}
		options.Groups = groups
	}
	server, err := platformd.Start(c.Listen, options)
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Printf("platform=%s\n", server.URL())
	awaitSignal()
	return nil
}

type standinInstanceCommand struct {
	ID             string        `long:"id" required:"true" description:"id of the instance"`
	Group          string        `long:"group" required:"true" description:"name of the database group"`
	Domain         string        `long:"failure-domain" required:"true" description:"failure domain of the instance"`
	Listen         string        `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
	Admin          string        `long:"admin" description:"IP:port of the HTTP endpoint for fault injection; none when empty"`
	Peers          []string      `long:"peer" value-name:"ID=ADDRESS" description:"another instance of the group; repeat for each"`
	Primary        bool          `long:"primary" description:"start as the primary of term 1"`
	Source         string        `long:"source" description:"id of the primary that a replica follows at start"`
	Connections    int           `long:"connections" default:"35" description:"limit of open connections"`
	Slots          int           `long:"slots" default:"5" description:"number of statements that run concurrently"`
	ConnectDelay   time.Duration `long:"connect-delay" default:"10ms" description:"delay of a new connection"`
	StatementDelay time.Duration `long:"statement-delay" default:"0s" description:"service time of a statement"`
	ReplicationLag time.Duration `long:"replication-lag" default:"2ms" description:"time after which a replica applies an entry"`
	User           string        `long:"user" default:"chicoryline" description:"user that may log in"`
	Password       string        `long:"password" default:"" description:"password of the user"`
}

// Execute implements flags.Commander.
func (c *standinInstanceCommand) Execute([]string) error {
	peers := map[string]string{}
	for _, p := range c.Peers {
		id, address, ok := strings.Cut(p, "=")
		if !ok {
			return errors.NotValidf("--peer %q", p)
		}
		peers[id] = address
	}
	server, err := dbinstance.Start(dbinstance.Config{
		ID: c.ID, Group: c.Group, Domain: c.Domain, Listen: c.Listen, AdminListen: c.Admin,
		Peers:          func(id string) string { return peers[id] },
		InitialPrimary: c.Primary, InitialSource: c.Source,
		Connections: c.Connections, Slots: c.Slots, ConnectDelay: c.ConnectDelay,
		StatementDelay: c.StatementDelay, ReplicationLag: c.ReplicationLag,
		User: c.User, Password: c.Password, Log: newLogger(logrus.WarnLevel),
	})
	if err != nil {
		return err
	}
	defer server.Close()
	fmt.Printf("instance=%s address=%s\n", c.ID, server.Addr())
	awaitSignal()
	return nil
}
