package rowstore

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const callTimeout = 10 * time.Second

func open(t *testing.T, promote Promote) *Store {
	t.Helper()
	s, err := New(promote)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// sendPromotion sends a promotion request and returns its HTTP status, or 0 if it times out.
func sendPromotion(t *testing.T, s *Store, server string, token uint64, wait time.Duration) int {
	t.Helper()
	body := fmt.Sprintf(`{"service":"g","id":%q}`, server)
	r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/promote", bytes.NewBufferString(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Lease-Holder", "vm1")
	r.Header.Set("Fencing-Token", fmt.Sprint(token))
	client := http.Client{Timeout: wait}
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// The fencing token of a delayed promotion is checked when it is executed, so a newer token
// fences it. A promotion whose server is already the primary changes no role but still
// raises the group's highest token.
func TestTokenOfALatePromotionIsCheckedWhenExecuted(t *testing.T) {
	executed := make(chan string, 10)
	s := open(t, func(_, server string) bool { executed <- server; return true })
	const late = 300 * time.Millisecond
	s.LosePromotionAnswers(1, late)
	if code := sendPromotion(t, s, "late and fenced", 5, late/6); code != 0 {
		t.Fatalf("answer %d", code)
	}
	if code := sendPromotion(t, s, "primary", 7, callTimeout); code != http.StatusOK {
		t.Fatalf("answer %d", code)
	}
	if code := sendPromotion(t, s, "old", 6, callTimeout); code != http.StatusConflict {
		t.Errorf("lower token: answer %d", code)
	}
	s.LosePromotionAnswers(1, late)
	sendPromotion(t, s, "late", 8, late/6)
	got := []string{<-executed, <-executed}
	if diff := cmp.Diff([]string{"primary", "late"}, got); diff != "" {
		t.Error(diff)
	}
}

func TestPromotionOfAServerThatIsNotRunningIsRefused(t *testing.T) {
	s := open(t, func(string, string) bool { return false })
	if code := sendPromotion(t, s, "gone", 1, callTimeout); code != http.StatusConflict {
		t.Errorf("answer %d", code)
	}
}
