package failover

import "chicoryline/internal/platform"

func testGroup() platform.Group {
	return platform.Group{Name: "g", Instances: []platform.Instance{
		{ID: "a", Domain: "d1"}, {ID: "b", Domain: "d2"}, {ID: "c", Domain: "d3"}}}
}

// largeGroup has five instances, two each in the first two domains.
func largeGroup() platform.Group {
	group := testGroup()
	group.Instances = append(group.Instances,
		platform.Instance{ID: "d", Domain: "d1"}, platform.Instance{ID: "e", Domain: "d2"})
	return group
}
