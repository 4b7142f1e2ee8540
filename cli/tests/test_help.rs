//! The help text.

use crate::fixtures::folder;
use expect_test::expect;

#[test]
fn help_describes_all_commands() {
    expect![[r#"
        medlarspur
          Checks and signs bundles, and shows the state of instances.

          Usual steps: write site.yaml, run `medlarspur bundle check site.yaml`, review
          `medlarspur bundle diff old.yaml site.yaml`, run
          `medlarspur bundle sign site.yaml --key site.key --out signed.yaml`, publish
          signed.yaml on the platform, and check that it is in force with
          `medlarspur status 10.0.0.1:9000 10.0.0.2:9000`.

          Addresses are those of `operator:` in the instances' settings.

          Exit codes: 0 done; 1 the answer is no (faults in a bundle, bundles differ,
          an instance is not ready or has another bundle in force); 2 wrong command
          line; 3 a file can't be read or written, or is not a key; 4 an instance can't be
          reached or its answer is invalid.

        OPTIONS:
            -h, --help
              Prints help information.

        SUBCOMMANDS:

        medlarspur key
          Keys for signing bundles.


        medlarspur key new
          Generates a key pair. The secret key goes to FILE, which only you can
          read; the public key goes to FILE.pub and into `keys:` of each
          instance's settings. No file is overwritten.

          OPTIONS:
            --out <file>
              The file for the secret key.


        medlarspur bundle
          Bundles: check, sign, show and compare them.


        medlarspur bundle check
          Prints every fault of a bundle with its line and advice.

          ARGS:
            <file>
              The bundle, signed or not.

          OPTIONS:
            --trust <key>
              Also require a signature by this public key (a .pub file).

            --json
              Print JSON.


        medlarspur bundle sign
          Checks and signs a bundle.

          ARGS:
            <file>
              The bundle; an earlier signature is replaced.

          OPTIONS:
            --key <file>
              The file of the secret key.

            --out <file>
              The file for the signed bundle; printed if not given.


        medlarspur bundle show
          Prints a bundle with all its defaults filled in.

          ARGS:
            <file>
              The bundle.

          OPTIONS:
            --json
              Print JSON.


        medlarspur bundle diff
          Prints the differences between two bundles. Exit code 1 if there are any.

          ARGS:
            <old>
              The earlier bundle.

            <new>
              The later bundle.

          OPTIONS:
            --json
              Print JSON.


        medlarspur status
          Prints the state of one instance, or of all that are given: the bundle in
          force, life cycle, members and moves in progress.

          ARGS:
            <addresses>...
              Addresses of instances, such as 10.0.0.1:9000.

          OPTIONS:
            --json
              Print JSON.


        medlarspur explain
          Prints the target to which an instance sends the next packet of a flow, and why.

          ARGS:
            <flow>
              The flow, as tcp:CALLER-IP:PORT:SERVICE-IP:PORT, or as in log
              lines, CALLER-IP:PORT>SERVICE-IP:PORT.

          OPTIONS:
            --instance <address>
              The address of the instance to query.

            --json
              Print JSON.


        medlarspur flows
          Lists flows that an instance knows.

          OPTIONS:
            --instance <address>
              The address of the instance to query.

            --limit <count>
              Maximum number of flows; 100 if not given.

            --json
              Print JSON.


        medlarspur top
          Shows rates of instances at intervals, until interrupted.

          ARGS:
            <addresses>...
              Addresses of instances.

          OPTIONS:
            --interval <seconds>
              Seconds between two rounds; 2 if not given.

            --rounds <count>
              Number of rounds; unlimited if not given.

            --json
              Print one JSON array per round.

    "#]]
    .assert_eq(&folder().printed("--help"));
}

#[test]
fn every_command_prints_the_same_help() {
    let folder = folder();
    let whole = folder.printed("--help");

    for command in ["key new", "bundle check", "status", "explain", "flows", "top"] {
        assert_eq!(folder.printed(&format!("{command} --help")), whole, "{command}");
    }
}
