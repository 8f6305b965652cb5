package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/juju/errors"

	"chicoryline/internal/demo"
	"chicoryline/internal/load"
	"chicoryline/internal/naive"
	"chicoryline/internal/site"
)

// Load runs the product with the options and prints its figures. With compare it then runs
// the pass-through proxy on a new site with the same seed and prints its figures as well.
func Load(ctx context.Context, o demo.Options, compare, asJSON bool) error {
	figures, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := printFigures(o.Out, "product", o, figures, asJSON); err != nil {
		return err
	}
	if !compare {
		return nil
	}
	o.FrontProxies = passThrough
	baseline, err := demo.Run(ctx, o)
	if err != nil {
		return errors.Annotate(err, "pass-through")
	}
	return printFigures(o.Out, "pass_through", o, baseline, asJSON)
}

// passThrough starts one pass-through proxy in each failure domain and returns their
// addresses and a function that stops them.
func passThrough(s *site.Site) ([]string, func(), error) {
	var proxies []*naive.Proxy
	stop := func() {
		for _, p := range proxies {
			p.Close()
		}
	}
	var addresses []string
	for d := range s.Spec.Domains {
		p, err := startNaiveAt(s, site.Location{Name: fmt.Sprintf("naive%d", d+1), Domain: site.DomainName(d)})
		if err != nil {
			stop()
			return nil, nil, err
		}
		proxies = append(proxies, p)
		addresses = append(addresses, p.Addr())
	}
	return addresses, stop, nil
}

func printFigures(out io.Writer, name string, o demo.Options, f load.Figures, asJSON bool) error {
	if !asJSON {
		f.WriteNotes(out)
		_, err := fmt.Fprintf(out, "through=%s site=%s seed=%d %s\n", name, o.Spec.Name, o.Seed, f.Line())
		return err
	}
	return json.NewEncoder(out).Encode(struct {
		Through string
		Site    string
		Seed    uint64
		load.Figures
	}{name, o.Spec.Name, o.Seed, f})
}
