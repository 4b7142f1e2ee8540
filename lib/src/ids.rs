//! Names and numbers that tell one thing from another.

name! {
    /// The name of a site: one installation of the system.
    SiteName,
    /// The name of a service, unique in a bundle.
    ServiceName,
    /// The name of a target (a back end), unique in a bundle.
    TargetName,
    /// The name of an instance of medlarspur, unique at a site.
    InstanceName,
    /// The name of a failure domain.
    DomainName,
    /// The name of a region: failure domains that are near each other.
    RegionName,
}

number! {
    /// The version of a bundle, as its authors count it. The first is 1.
    Version: u64,
    /// The position of a service in the bundle in force.
    ServiceIx: u16,
    /// The position of a target in its service's list in the bundle in force.
    TargetIx: u16,
    /// One of the equal parts into which a service's flows are hashed.
    Bucket: u16,
    /// The keyed 64-bit hash of a flow's five-tuple; every instance computes
    /// the same one, and all state and messages about a flow carry it.
    FlowId: u64,
    /// How often an instance has started or refuted a suspicion. A later one
    /// wins over every belief about an earlier one.
    Incarnation: u64,
}
