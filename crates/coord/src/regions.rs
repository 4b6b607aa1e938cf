//! Restriction of a request to the members and instances of some regions.

/// Regions that a route and a team allow; an empty list allows all. Both restrictions apply.
#[derive(Clone, Copy, Debug, Default)]
pub struct RegionScope<'a> {
    /// Regions that the route allows.
    pub route: &'a [String],
    /// Regions that the team allows.
    pub team: &'a [String],
}

impl RegionScope<'_> {
    /// Returns whether all regions are allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.route.is_empty() && self.team.is_empty()
    }

    /// Returns whether a region is allowed. An unknown one is allowed only without a restriction.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let is_listed = |list: &[String]| {
            list.is_empty() || list.iter().any(|name| Some(name.as_str()) == region)
        };
        is_listed(self.route) && is_listed(self.team)
    }
}
