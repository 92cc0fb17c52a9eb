/// Plays a case. Returns whether the rule was broken.
fn play(case: &str, trouble: bool, record: &str) -> io::Result<bool> {
    let log = Log::new();
    match case {
        "gone" => play_gone(log, trouble, record),
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
    println!("{verdict}");
    d.write_record(record, &verdict);
    Ok(!late.is_empty())
}
