package upstream

import "testing"

func TestModelHasAdaptersByNumber(t *testing.T) {
	model := Model{Adapters: 12}
	for name, want := range map[string]bool{"a1": true, "a12": true, "a13": false, "a0": false, "a01": false, "a+1": false, "1": false, "a": false, "": false, "b1": false} {
		if got := model.HasAdapter(name); got != want {
			t.Errorf("%q: %t", name, got)
		}
	}
}
