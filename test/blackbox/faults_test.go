package blackbox

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// withdrawalTimeout bounds how long a connection may stay open after its key was withdrawn.
const withdrawalTimeout = 10 * time.Second

// grantLength is the default length of a configuration grant.
const grantLength = 3 * time.Second

// insertOrder inserts the order and returns the caller's error.
func insertOrder(conn *pgx.Conn, id int) error {
	_, err := conn.Exec(context.Background(), "INSERT INTO orders (id, what) VALUES ($1, 'x')", id)
	return err
}

// countOrders returns the number of rows with the order's ID, read as current data.
func countOrders(t *testing.T, in *installation, proxy string, id int) int64 {
	t.Helper()
	conn := in.connect(proxy, "kremstal", "group1", "")
	var n int64
	if err := conn.QueryRow(context.Background(), "SELECT count(*) FROM orders WHERE id = $1", id).Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

// TestFaults injects faults one after the other into a running installation and checks that
// acknowledged writes are kept and that service continues.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	in := newInstallation(t, spec{proxies: 8, groups: 1, instances: 3, domains: 3, customers: []string{"kremstal", "leaving"}, rate: 5000, burst: 5000})
	mustExec(t, in.connect("vm1", "kremstal", "group1", ""), "CREATE TABLE orders (id bigint, what text)")

	t.Run("platform outage longer than a configuration grant", func(t *testing.T) {
		conn := in.connect("vm1", "kremstal", "group1", "")
		in.platformFault("kind=down&on=true")
		id := 0
		for end := time.Now().Add(2 * grantLength); time.Now().Before(end); id++ {
			if err := insertOrder(conn, id); err != nil {
				t.Fatalf("write %d while the platform is down: %v", id, err)
			}
		}
		in.platformFault("kind=down&on=false")
		if n := countOrders(t, in, "vm5", id-1); n != 1 {
			t.Fatalf("order %d is stored %d times, want 1", id-1, n)
		}
	})
	t.Run("withdrawn key on an open connection", func(t *testing.T) {
		busy, idle := in.connect("vm2", "leaving", "group1", ""), in.connect("vm3", "leaving", "group1", "")
		mustExec(t, busy, "SELECT 1")
		in.patch(1, "[customer leaving]\nkey.main = withdrawn\n")
		if _, err := busy.Exec(ctx, "SELECT 1"); err == nil {
			t.Fatal("a statement succeeded with a withdrawn key")
		}
		wait, cancel := context.WithTimeout(ctx, withdrawalTimeout)
		defer cancel()
		if _, err := idle.WaitForNotification(wait); err == nil || wait.Err() != nil {
			t.Fatalf("the idle connection was not closed: %v", err)
		}
	})
	t.Run("proxy killed inside a transaction", func(t *testing.T) {
		tx, err := in.connect("vm8", "kremstal", "group1", "").Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := tx.Exec(ctx, "INSERT INTO orders (id, what) VALUES (10000, 'x')"); err != nil {
			t.Fatal(err)
		}
		in.proxies["vm8"].kill()
		if err := tx.Commit(ctx); err == nil {
			t.Fatal("a killed proxy acknowledged a commit")
		}
		if n := countOrders(t, in, "vm1", 10000); n != 0 {
			t.Fatalf("the uncommitted transaction left %d rows", n)
		}
		in.eventually("writes continue", func() error { return insertOrder(in.connect("vm1", "kremstal", "group1", ""), 10001) })
	})
	t.Run("proxy stopped and continued", func(t *testing.T) {
		in.proxies["vm7"].signal(syscall.SIGSTOP)
		conn := in.connect("vm1", "kremstal", "group1", "")
		in.eventually("writes continue while another proxy is stopped", func() error { return insertOrder(conn, 11000) })
		time.Sleep(grantLength)
		in.proxies["vm7"].signal(syscall.SIGCONT)
		in.eventually("the continued proxy serves", func() error { return in.ping("vm7") })
		if n := countOrders(t, in, "vm7", 11000); n < 1 {
			t.Fatal("the continued proxy does not return an acknowledged write")
		}
	})
	t.Run("planned stop during a transaction", func(t *testing.T) {
		tx, err := in.connect("vm6", "kremstal", "group1", "").Begin(ctx)
		if err != nil {
			t.Fatal(err)
		}
		in.proxies["vm6"].signal(syscall.SIGTERM)
		for i := range 20 {
			if _, err := tx.Exec(ctx, "INSERT INTO orders (id, what) VALUES ($1, 'x')", 12000+i); err != nil {
				t.Fatalf("statement %d after the stop began: %v", i, err)
			}
			time.Sleep(pollInterval)
		}
		if err := tx.Commit(ctx); err != nil {
			t.Fatalf("commit during the stop: %v", err)
		}
		<-in.proxies["vm6"].done
		if code := in.proxies["vm6"].cmd.ProcessState.ExitCode(); code != 0 {
			t.Fatalf("exit status %d: %s", code, in.proxies["vm6"].logText())
		}
		if n := countOrders(t, in, "vm2", 12019); n != 1 {
			t.Fatalf("the committed row is stored %d times, want 1", n)
		}
	})
	t.Run("primary stopped, replaced and continued", func(t *testing.T) {
		acked := freezeAndReplacePrimary(t, in)
		for _, id := range acked {
			if n := countOrders(t, in, "vm2", id); n != 1 {
				t.Errorf("acknowledged order %d is stored %d times, want 1", id, n)
			}
		}
	})
	t.Run("failure domain of the primary partitioned", func(t *testing.T) { partitionPrimaryDomain(t, in) })
}

// freezeAndReplacePrimary stops the primary's process with SIGSTOP between writes,
// continues it once its successor accepts writes, and returns the acknowledged orders.
func freezeAndReplacePrimary(t *testing.T, in *installation) []int {
	t.Helper()
	conn := in.connect("vm1", "kremstal", "group1", "")
	var acked []int
	writeSome := func(from int) {
		for i := range 50 {
			if insertOrder(conn, from+i) == nil {
				acked = append(acked, from+i)
			}
		}
	}
	primary := in.primary("group1")
	writeSome(20000)
	in.instances[primary].signal(syscall.SIGSTOP)
	in.eventually("a new primary accepts writes", func() error { return insertOrder(conn, 21000) })
	writeSome(22000)
	in.instances[primary].signal(syscall.SIGCONT)
	writeSome(23000)
	in.eventually("the old primary becomes a replica", func() error {
		if role := in.role(primary); role != "replica" {
			return fmt.Errorf("%s is still %s", primary, role)
		}
		return nil
	})
	if len(acked) < 100 {
		t.Fatalf("only %d writes were acknowledged", len(acked))
	}
	return acked
}

// partitionPrimaryDomain partitions the primary from every VM and backend server outside
// of its failure domain. A read through a proxy inside must not miss a write acknowledged
// outside, and the write must survive the end of the partition.
func partitionPrimaryDomain(t *testing.T, in *installation) {
	t.Helper()
	ctx := context.Background()
	primary := in.primary("group1")
	inside := in.instance(primary).Domain
	outsideVM, insideVM := "", ""
	for i := range 5 {
		if domain(i, 3) == inside {
			insideVM = fmt.Sprintf("vm%d", i+1)
		} else {
			outsideVM = fmt.Sprintf("vm%d", i+1)
		}
	}
	outsideConn, insideConn := in.connect(outsideVM, "kremstal", "group1", ""), in.connect(insideVM, "kremstal", "group1", "")
	for d := range 3 {
		if name := domain(d, 3); name != inside {
			in.instanceFault(primary, "name=cut&direction=both&parties=domain:"+name)
		}
	}
	for _, i := range in.groups[0].Instances {
		if i.ID != primary {
			in.instanceFault(primary, "name=cut&direction=both&parties=instance:"+i.ID)
			in.instanceFault(i.ID, "name=cut&direction=both&parties=instance:"+primary)
			in.instanceFault(i.ID, "name=cut&direction=both&parties=domain:"+inside)
		}
	}
	in.eventually("a new primary outside accepts writes", func() error { return insertOrder(outsideConn, 30000) })
	limited, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	var n int64
	if err := insideConn.QueryRow(limited, "SELECT count(*) FROM orders WHERE id = 30000").Scan(&n); err == nil && n != 1 {
		t.Fatal("a proxy inside the partition read from a replaced primary")
	}
	in.instanceFault(primary, "name=heal")
	for _, i := range in.groups[0].Instances {
		in.instanceFault(i.ID, "name=heal")
	}
	in.eventually("the old primary becomes a replica", func() error {
		if role := in.role(primary); role != "replica" {
			return fmt.Errorf("%s is still %s", primary, role)
		}
		return nil
	})
	if n := countOrders(t, in, outsideVM, 30000); n != 1 {
		t.Fatalf("order 30000 is stored %d times, want 1", n)
	}
}
