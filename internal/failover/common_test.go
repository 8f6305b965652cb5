package failover

import "chicoryline/internal/platform"

func testGroup() platform.Group {
	return platform.Group{Name: "g", Instances: []platform.Instance{
		{ID: "a", Domain: "d1"}, {ID: "b", Domain: "d2"}, {ID: "c", Domain: "d3"}}}
}
