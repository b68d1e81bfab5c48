"""Team quotas: what each team may have running, has running and waits for."""
