package failover

import "chicoryline/internal/services"

func testGroup() services.Group {
	return services.Group{Name: "g", Instances: []services.Instance{
		{ID: "a", Domain: "d1"}, {ID: "b", Domain: "d2"}, {ID: "c", Domain: "d3"}}}
}

// largeGroup returns a group of five instances, with two in each of the first two domains.
func largeGroup() services.Group {
	group := testGroup()
	group.Instances = append(group.Instances,
		services.Instance{ID: "d", Domain: "d1"}, services.Instance{ID: "e", Domain: "d2"})
	return group
}
