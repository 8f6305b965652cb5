package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"chicoryline/internal/site"
)

// headerTimeout limits how long reading the header of a fault command may take.
const headerTimeout = 5 * time.Second

// Serve starts the site without load and runs until the context ends. It prints each
// address, customer and route on one line of key=value pairs, and the address that accepts
// fault commands.
func Serve(ctx context.Context, o Options) error {
	s, err := site.Start(ctx, o.Spec, o.Log)
	if err != nil {
		return err
	}
	defer s.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: faultHandler(s), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	printSite(o.Out, s, listener.Addr().String())
	<-ctx.Done()
	return nil
}

func printSite(out io.Writer, s *site.Site, control string) {
	for i, p := range s.Proxies {
		fmt.Fprintf(out, "proxy=%s failure_domain=%s address=%s peers=%s metrics=http://%s/metrics\n",
			site.ProxyName(i), s.ProxyDomain(i), p.CallerAddress(), p.PeerAddress(), p.MetricsAddress())
	}
	for _, c := range s.Spec.Customers {
		fmt.Fprintf(out, "customer=%s key=%s rate=%g burst=%g\n", c.Name, s.Keys[c.Name], c.Rate, c.Burst)
	}
	for g := range s.Spec.Groups {
		name := site.GroupName(g)
		fmt.Fprintf(out, "route=%s group=%s max_age=0s tables=bookings,sessions,clock\n", name, name)
		fmt.Fprintf(out, "route=%s-aged group=%s max_age=%s tables=bookings,sessions,clock\n", name, name, s.Spec.MaxAge)
		for _, id := range s.InstanceIDs(name) {
			fmt.Fprintf(out, "backend_server=%s group=%s address=%s\n", id, name, s.Instances[id].Addr())
		}
	}
	fmt.Fprintf(out, "platform=%s\n", s.Platform.URL())
	fmt.Fprintf(out, "control=http://%s commands=cut_primary?group=G,heal?backend_server=B,cut_domain?domain=D,heal_domain?domain=D,platform?state=down|up,stop_proxy?vm=V,withdraw_key?customer=C\n", control)
	p := s.Proxies[0]
	fmt.Fprintf(out, "example=\"PGPASSWORD=%s psql 'host=127.0.0.1 port=%s user=%s dbname=%s sslmode=disable'\"\n",
		s.Keys[s.Spec.Customers[0].Name], port(p.CallerAddress()), s.Spec.Customers[0].Name, site.GroupName(0))
	fmt.Fprintln(out, "ready=true")
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

// faultHandler handles POST commands that inject and end faults.
func faultHandler(s *site.Site) http.Handler {
	mux := http.NewServeMux()
	handle := func(name, parameter string, do func(r *http.Request, value string) (string, error)) {
		mux.HandleFunc("POST /"+name, func(w http.ResponseWriter, r *http.Request) {
			said, err := do(r, r.FormValue(parameter))
			if err != nil {
				http.Error(w, fmt.Sprintf("error=%q", err), http.StatusBadRequest)
				return
			}
			_, _ = fmt.Fprintf(w, "done=%s %s=%s %s\n", name, parameter, r.FormValue(parameter), said)
		})
	}
	handle("cut_primary", "group", func(_ *http.Request, group string) (string, error) {
		id := s.Primary(group)
		return "backend_server=" + id, s.PartitionInstance(id)
	})
	handle("heal", "backend_server", func(_ *http.Request, id string) (string, error) { return "", s.HealInstance(id) })
	handle("cut_domain", "domain", func(_ *http.Request, d string) (string, error) { return "", applyToDomain(s, d, s.PartitionDomain) })
	handle("heal_domain", "domain", func(_ *http.Request, d string) (string, error) { return "", applyToDomain(s, d, s.HealDomain) })
	handle("platform", "state", func(_ *http.Request, state string) (string, error) {
		if state != "down" && state != "up" {
			return "", fmt.Errorf("state is down or up, not %q", state)
		}
		return "", s.SetPlatformUp(state == "up")
	})
	handle("stop_proxy", "vm", func(r *http.Request, vm string) (string, error) {
		for i := range s.Proxies {
			if site.ProxyName(i) == vm {
				return "", s.StopProxy(context.WithoutCancel(r.Context()), i)
			}
		}
		return "", fmt.Errorf("no proxy %q", vm)
	})
	handle("withdraw_key", "customer", func(r *http.Request, customer string) (string, error) {
		return "", s.WithdrawKey(r.Context(), customer)
	})
	return mux
}

func applyToDomain(s *site.Site, domain string, set func(string)) error {
	var known []string
	for d := range s.Spec.Domains {
		known = append(known, site.DomainName(d))
	}
	if !slices.Contains(known, domain) {
		return fmt.Errorf("failure domain %q is none of %v", domain, known)
	}
	set(domain)
	return nil
}
