//! The inventory file: failure domains, racks, workers, services and their executors.

use std::collections::{BTreeMap, HashMap, HashSet};

use common::Name;

use crate::quantity::{Resources, SIZE_KEYS, read_size};
use crate::reader::{Node, ParseErrors, parse_jsonc};

common::data! {
    /// Machines and services that the operators registered for one cell.
    #[derive(Default)]
    pub struct Inventory {
        /// Name of the cell.
        pub cell: Name,
        /// Racks, by name.
        pub racks: BTreeMap<Name, Rack>,
        /// Services, by name.
        pub services: BTreeMap<Name, Service>,
    }

    /// A rack of workers; each rack is owned by one daemon.
    #[derive(Default)]
    pub struct Rack {
        /// Failure domain of the rack.
        pub domain: Name,
        /// Workers of the rack, in file order.
        pub workers: Vec<Worker>,
    }

    /// A machine that runs tasks.
    #[derive(Default)]
    pub struct Worker {
        /// Name of the worker, unique in the cell.
        pub name: Name,
        /// Total capacity.
        pub total_capacity: Resources,
        /// Capacity available to tasks: the total less the sizes of its executors.
        pub task_capacity: Resources,
    }

    /// A service that handles quick requests.
    #[derive(Default)]
    pub struct Service {
        /// Executors of the service, in file order.
        pub executors: Vec<Executor>,
    }

    /// A server process of a service.
    #[derive(Default)]
    pub struct Executor {
        /// Name of the executor, unique in the cell.
        pub name: Name,
        /// Name of the worker that it runs on.
        pub worker: Name,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum number of connections; at least `slots`.
        pub connections: u32,
        /// Capacity that it permanently reserves on its worker.
        pub size: Resources,
    }
}

impl Inventory {
    /// Parses an inventory file.
    ///
    /// # Errors
    ///
    /// All errors in the text, with their positions.
    pub fn parse(text: &str) -> Result<Self, ParseErrors> {
        parse_jsonc(text, read_inventory)
    }

    /// All workers, each with the name of its rack.
    pub fn workers<'a>(&'a self) -> impl Iterator<Item = (&'a Name, &'a Worker)> {
        let rack_workers = |(name, rack): (&'a Name, &'a Rack)| {
            rack.workers.iter().map(move |worker| (name, worker))
        };
        self.racks.iter().flat_map(rack_workers)
    }

    /// Name of the rack that holds a worker; `None` if the worker is unknown.
    pub fn rack_of(&self, worker: &str) -> Option<&Name> {
        let contains = |rack: &Rack| rack.workers.iter().any(|entry| &*entry.name == worker);
        self.racks.iter().find(|(_, rack)| contains(rack)).map(|(name, _)| name)
    }

    /// Checks that a task of this size fits on some worker without other tasks.
    ///
    /// # Errors
    ///
    /// The resource that the last worker lacks, or `workers` if there are none.
    pub fn check_task_fits(&self, size: &Resources) -> Result<(), &'static str> {
        let mut lacking = "workers";
        for (_, worker) in self.workers() {
            match size.first_exceeded(&worker.task_capacity) {
                None => return Ok(()),
                Some(resource) => lacking = resource,
            }
        }
        Err(lacking)
    }
}

fn read_inventory(root: Node<'_>) -> Inventory {
    let object = root.read_object(&["cell", "domains", "services"]);
    let mut names = HashSet::new();
    let mut inventory = Inventory { cell: object.require_name("cell"), ..Inventory::default() };
    for node in object.require("domains").map(Node::read_array).unwrap_or_default() {
        read_domain(node, &mut names, &mut inventory);
    }
    for node in object.array_or_empty("services") {
        read_service(node, &mut names, &mut inventory);
    }
    subtract_executors(root, &mut inventory);
    inventory
}

/// Records a name; a name that is already in use is an error.
fn check_unique(node: Node<'_>, names: &mut HashSet<Name>, name: &Name) {
    if !name.is_empty() && !names.insert(name.clone()) {
        node.add_error(format!("duplicate name `{name}`"));
    }
}

fn read_domain(node: Node<'_>, names: &mut HashSet<Name>, inventory: &mut Inventory) {
    let object = node.read_object(&["name", "racks"]);
    let domain = object.require_name("name");
    check_unique(node, names, &domain);
    for node in object.array_or_empty("racks") {
        let object = node.read_object(&["name", "workers"]);
        let name = object.require_name("name");
        check_unique(node, names, &name);
        let workers = object.array_or_empty("workers").into_iter();
        let workers = workers.map(|node| read_worker(node, names)).collect();
        inventory.racks.insert(name, Rack { domain: domain.clone(), workers });
    }
}

fn read_worker(node: Node<'_>, names: &mut HashSet<Name>) -> Worker {
    let mut known_keys = vec!["name"];
    known_keys.extend(SIZE_KEYS);
    let object = node.read_object(&known_keys);
    let size = read_size(&object);
    let worker =
        Worker { name: object.require_name("name"), total_capacity: size, task_capacity: size };
    check_unique(node, names, &worker.name);
    worker
}

fn read_service(node: Node<'_>, names: &mut HashSet<Name>, inventory: &mut Inventory) {
    let object = node.read_object(&["name", "executors"]);
    let name = object.require_name("name");
    check_unique(node, names, &name);
    let mut service = Service::default();
    for node in object.array_or_empty("executors") {
        let executor = read_executor(node);
        check_unique(node, names, &executor.name);
        if inventory.rack_of(&executor.worker).is_none() {
            node.add_error(format!("unknown worker `{}`: not in any rack", executor.worker));
        }
        service.executors.push(executor);
    }
    inventory.services.insert(name, service);
}

fn read_executor(node: Node<'_>) -> Executor {
    let mut known_keys = vec!["name", "worker", "slots", "connections"];
    known_keys.extend(SIZE_KEYS);
    let object = node.read_object(&known_keys);
    let executor = Executor {
        name: object.require_name("name"),
        worker: object.require_name("worker"),
        slots: object.require_integer("slots", 1..=4096) as u32,
        connections: object.require_integer("connections", 1..=65_536) as u32,
        size: read_size(&object),
    };
    if executor.connections < executor.slots {
        node.add_error("`connections` must be at least `slots`");
    }
    executor
}

/// Subtracts executors from their workers' task capacity; reports those that do not fit.
fn subtract_executors(root: Node<'_>, inventory: &mut Inventory) {
    let mut reserved_by_worker: HashMap<Name, Resources> = HashMap::new();
    for executor in inventory.services.values().flat_map(|service| &service.executors) {
        let sum = reserved_by_worker.entry(executor.worker.clone()).or_default();
        *sum = sum.plus(&executor.size);
    }
    for worker in inventory.racks.values_mut().flat_map(|rack| &mut rack.workers) {
        let reserved = reserved_by_worker.get(&worker.name).copied().unwrap_or_default();
        if let Some(resource) = reserved.first_exceeded(&worker.total_capacity) {
            let name = &worker.name;
            root.add_error(format!(
                "executors on worker `{name}` need more {resource} than the worker has"
            ));
        }
        worker.task_capacity = worker.total_capacity.minus(&reserved);
    }
}
