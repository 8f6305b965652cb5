package site

import (
	"context"
	"fmt"
	"net/url"

	"github.com/juju/errors"

	"chicoryline/internal/configsync"
	"chicoryline/internal/standin/dbinstance"
)

// platformDomain is the failure domain of the platform in the simulated network.
const platformDomain = "platform"

// PartitionInstance partitions a backend server from all proxies and from the other backend
// servers. The server keeps running in its current role.
func (s *Site) PartitionInstance(id string) error {
	server, ok := s.Instances[id]
	if !ok {
		return errors.NotFoundf("backend server %q", id)
	}
	for d := range s.Spec.Domains {
		s.Network.Partition(id, DomainName(d))
	}
	server.Cut(dbinstance.CutBoth, s.otherInstances(id)...)
	return nil
}

// HealInstance undoes PartitionInstance.
func (s *Site) HealInstance(id string) error {
	server, ok := s.Instances[id]
	if !ok {
		return errors.NotFoundf("backend server %q", id)
	}
	for d := range s.Spec.Domains {
		s.Network.Heal(id, DomainName(d))
	}
	server.Heal(s.otherInstances(id)...)
	return nil
}

func (s *Site) otherInstances(id string) []string {
	var others []string
	for _, g := range s.groups {
		for _, i := range g.Instances {
			if i.ID != id {
				others = append(others, "instance:"+i.ID)
			}
		}
	}
	return others
}

// PartitionDomain partitions a failure domain from the other domains and from the platform.
// Callers can still reach its proxies.
func (s *Site) PartitionDomain(domain string) {
	s.setDomainPartition(domain, s.Network.Partition, true)
}

// HealDomain undoes PartitionDomain.
func (s *Site) HealDomain(domain string) { s.setDomainPartition(domain, s.Network.Heal, false) }

// setDomainPartition starts or ends a partition of the domain, in the network and in the
// replication links of the backend servers.
func (s *Site) setDomainPartition(domain string, set func(a, b string), partition bool) {
	for d := range s.Spec.Domains {
		if other := DomainName(d); other != domain {
			set(domain, other)
		}
	}
	set(domain, platformDomain)
	for _, g := range s.groups {
		for _, inside := range g.Instances {
			for _, outside := range g.Instances {
				if inside.Domain != domain || outside.Domain == domain {
					continue
				}
				if partition {
					s.Instances[inside.ID].Cut(dbinstance.CutBoth, "instance:"+outside.ID)
					s.Instances[outside.ID].Cut(dbinstance.CutBoth, "instance:"+inside.ID)
					continue
				}
				s.Instances[inside.ID].Heal("instance:" + outside.ID)
				s.Instances[outside.ID].Heal("instance:" + inside.ID)
			}
		}
	}
}

// SetPlatformUp takes the platform down or brings it back up.
func (s *Site) SetPlatformUp(up bool) error {
	return s.Platform.SetFault(url.Values{"kind": {"down"}, "on": {fmt.Sprint(!up)}})
}

// WithdrawKey withdraws the customer's key with a patch to the current configuration version.
func (s *Site) WithdrawKey(ctx context.Context, customer string) error {
	services, err := s.OperatorClient()
	if err != nil {
		return err
	}
	doc, err := configsync.CurrentDocument(ctx, services)
	if err != nil {
		return err
	}
	patch := fmt.Sprintf("[customer %s]\nkey.main = withdrawn\n", customer)
	result, err := configsync.Submit(ctx, services, doc.Version, []byte(patch), "withdraw-"+customer)
	return errors.Annotatef(err, "withdrawal: %s", result.Reason)
}

// OtherInstance returns an instance of the group other than the named one.
func (s *Site) OtherInstance(group, id string) string {
	for _, other := range s.InstanceIDs(group) {
		if other != id {
			return other
		}
	}
	return ""
}

// Handover requests a planned switchover of the group's primary to the target from the
// proxies that watch the group.
func (s *Site) Handover(ctx context.Context, group, target string) error {
	err := errors.NotFoundf("watcher of group %q", group)
	for i, p := range s.Proxies {
		if s.stopped[i] {
			continue
		}
		if err = p.Handover(ctx, group, target); err == nil {
			return nil
		}
	}
	return err
}
