/// Plays a case. Returns whether the rule was broken.
fn play(case: &str, trouble: bool, record: &str) -> io::Result<bool> {
    let log = Log::new();
    match case {
        "gone" => play_gone(log, trouble, record),
        "cold" => play_cold(log, trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}

/// DRAIN: a server whose entry the store has removed gets new flows once the other servers of its
/// service do not answer.
fn play_gone(log: Arc<Log>, trouble: bool, record: &str) -> io::Result<bool> {
    const DRAIN_MS: u64 = 3_000;
    let servers = [
        ("fitting", 0),
        ("fitting", 0),
        ("fitting", 0),
        ("fitting", 0),
        ("fitting", 0),
        ("fitting", 1),
        ("fitting", 1),
        ("fitting", 1),
        ("fitting", 1),
        ("fitting", 1),
        ("fitting", 2),
        ("fitting", 2),
        ("fitting", 2),
        ("fitting", 2),
        ("lens", 0),
        ("lens", 0),
    ];
    let routes = [
        ("127.200.0.1", "fitting", "idempotent"),
        ("127.200.0.2", "lens", "download"),
    ];
    let d = Deployment::start(log.clone(), &servers, 3, &config(&routes))?;
    if !d.wait_ready() {
        d.stop();
        return Err(io::Error::other("balancers did not become ready"));
    }
    let fitting: SocketAddrV4 = "127.200.0.1:8443".parse().unwrap();
    let lens: SocketAddrV4 = "127.200.0.2:8443".parse().unwrap();
    let seed = std::process::id() as u64 * 7_919;
    let length = Duration::from_secs(20);
    let loads = [
        load(&d, seed, 60.0, length, fitting, "GET", (15, 45), 2_500),
        load(&d, seed + 2, 25.0, length, lens, "GET", (3, 8), 8_000),
    ];
    thread::sleep(Duration::from_secs(8));
    let (first, second) = (d.servers[14].clone(), d.servers[15].clone());
    let mut gone_at = None;
    let mut back_at = u64::MAX;
    if trouble {
        // The cut begins shortly before the server's next status report.
        let last_beat = d.store.objects.lock().unwrap().beats[&first.id];
        let next_beat =
            HEARTBEAT * (1 + (last_beat.elapsed().as_millis() / HEARTBEAT.as_millis()) as u32);
        thread::sleep((next_beat - Duration::from_millis(40)).saturating_sub(last_beat.elapsed()));
        let cut_at = Instant::now();
        first.is_store_cut.store(true, Ordering::Relaxed);
        log.add(format!(
            "{} is cut off from the store for 5 s; balancers and callers reach it",
            first.id
        ));
        while d
            .store
            .objects
            .lock()
            .unwrap()
            .live
            .contains_key(&("servers".to_string(), first.id.clone()))
        {
            thread::sleep(Duration::from_millis(1));
        }
        let gone = log.now();
        gone_at = Some(gone);
        thread::sleep(Duration::from_millis(2_300));
        second.is_cut.store(true, Ordering::Relaxed);
        log.add(format!(
            "{} is cut off from all balancers for 5.5 s; it reaches the store",
            second.id
        ));
        let second_cut_at = Instant::now();
        thread::sleep(Duration::from_secs(5).saturating_sub(cut_at.elapsed()));
        first.is_store_cut.store(false, Ordering::Relaxed);
        back_at = log.now();
        log.add(format!("{} reaches the store again", first.id));
        thread::sleep(Duration::from_millis(5_500).saturating_sub(second_cut_at.elapsed()));
        second.is_cut.store(false, Ordering::Relaxed);
        log.add(format!("{} is reached again", second.id));
    }
    for load in loads {
        let _ = load.join();
    }
    thread::sleep(Duration::from_secs(3));
    d.stop();
    let attempts = d.write_record(record, "");
    let sent: HashMap<SocketAddrV4, u64> = attempts.iter().map(|a| (a.caller, a.sent)).collect();
    let mut late = Vec::new();
    if let Some(gone) = gone_at {
        for opening in &first.state.lock().unwrap().openings {
            let sent = sent.get(&opening.caller).copied().unwrap_or(0);
            if sent > gone + DRAIN_MS && opening.at > gone + DRAIN_MS && opening.at < back_at {
                late.push(format!(
                    "caller {} sent at {sent}, arrived at {} through {}",
                    opening.caller,
                    opening.at,
                    d.name_of(opening.via)
                ));
            }
        }
    }
    let verdict = format!(
        "DRAIN {}: {} requests reached {} later than {DRAIN_MS} ms after its entry was removed (at {:?}) and before it reached the store again (at {back_at}).\n{}",
        if late.is_empty() { "held" } else { "broken" }, late.len(), first.id, gone_at, late.join("\n")
    );
    let _ = writeln!(io::stdout(), "{verdict}");
    d.write_record(record, &verdict);
    Ok(!late.is_empty())
}

/// FAILBACK: the servers of a zone come back together, cold, while the store is slow.
fn play_cold(log: Arc<Log>, trouble: bool, record: &str) -> io::Result<bool> {
    const WARMUP_MS: u64 = 2_000;
    // warmupPerS 0 x warmupOverage 1.5 + warmupSlack 5.
    const PER_S_MAX: usize = 5;
    const ROUNDS: usize = 4;
    let mut servers = vec![("fitting", 0); 5];
    servers.extend([("fitting", 1); 5]);
    servers.extend([("fitting", 2); 4]);
    servers.extend([("lens", 0), ("lens", 0), ("lens", 1), ("lens", 2)]);
    let routes = [
        ("127.200.0.1", "fitting", "idempotent"),
        ("127.200.0.2", "lens", "download"),
    ];
    let d = Deployment::start(log.clone(), &servers, 3, &config(&routes))?;
    if !d.wait_ready() {
        return Err(io::Error::other("balancers did not become ready"));
    }
    let fitting: SocketAddrV4 = "127.200.0.1:8443".parse().unwrap();
    let seed = std::process::id() as u64 * 7_919;
    let length = Duration::from_secs(5 + 11 * ROUNDS as u64);
    let load = load(&d, seed, 340.0, length, fitting, "GET", (15, 45), 2_500);
    thread::sleep(Duration::from_secs(5));
    let mut cold = Vec::new();
    for round in 0..ROUNDS {
        let start = Instant::now();
        if trouble {
            d.store.answer_ms.store(240, Ordering::Relaxed);
            log.add("the store is slow for 4.5 s: 240 ms an answer (60 times 4 ms)");
            thread::sleep(Duration::from_secs(1));
            let zone: Vec<Arc<Server>> =
                d.servers.iter().filter(|s| s.zone == 0).cloned().collect();
            for server in &zone {
                server.is_dark.store(true, Ordering::Relaxed);
                server.incarnation.fetch_add(1, Ordering::Relaxed);
            }
            log.add(format!("the servers of {} are down for 1.1 s", ZONES[0]));
            thread::sleep(Duration::from_millis(1_100));
            for server in &zone {
                let mut state = server.state.lock().unwrap();
                state.flows.clear();
                state.queue.clear();
                drop(state);
                server
                    .cold_until
                    .store(log.now() + WARMUP_MS, Ordering::Relaxed);
                cold.push((round, server.clone(), log.now()));
                // Registers first, and serves then.
                d.store.beat(&server.id, &server.entry());
                server.is_dark.store(false, Ordering::Relaxed);
            }
            log.add(format!(
                "the servers of {} are back, cold for 2 s",
                ZONES[0]
            ));
            thread::sleep(Duration::from_millis(4_500).saturating_sub(start.elapsed()));
            d.store.answer_ms.store(4, Ordering::Relaxed);
            log.add("the store is as fast as before");
        }
        thread::sleep(Duration::from_secs(11).saturating_sub(start.elapsed()));
    }
    let _ = load.join();
    thread::sleep(Duration::from_secs(2));
    d.stop();
    let attempts = d.write_record(record, "");
    let sent: HashMap<SocketAddrV4, u64> = attempts.iter().map(|a| (a.caller, a.sent)).collect();
    let mut broken = Vec::new();
    for (round, server, from) in &cold {
        let state = server.state.lock().unwrap();
        let mut taken: Vec<(u64, u64)> = state
            .openings
            .iter()
            .filter(|o| o.at >= *from && o.at < from + WARMUP_MS)
            .map(|o| (o.at, sent.get(&o.caller).copied().unwrap_or(0)))
            .collect();
        taken.sort_unstable();
        // Requests that were sent and arrived inside one second.
        let count = |begin: u64| {
            let inside = |at: u64| (begin..begin + 1_000).contains(&at);
            taken
                .iter()
                .filter(|&&(at, sent)| inside(at) && inside(sent))
                .count()
        };
        let most = taken
            .iter()
            .map(|&(_, sent)| count(sent))
            .max()
            .unwrap_or(0);
        if most > PER_S_MAX {
            let after: Vec<u64> = taken.iter().map(|(at, _)| at - from).collect();
            broken.push(format!(
                "round {round}: {} got {most} requests in one second; arrivals in ms after its start: {after:?}",
                server.id
            ));
        }
    }
    let verdict = format!(
        "FAILBACK {}: {} of {} cold servers got more than {PER_S_MAX} requests in one second.\n{}",
        if broken.is_empty() { "held" } else { "broken" },
        broken.len(),
        cold.len(),
        broken.join("\n")
    );
    let _ = writeln!(io::stdout(), "{verdict}");
    d.write_record(record, &verdict);
    Ok(!broken.is_empty())
}
